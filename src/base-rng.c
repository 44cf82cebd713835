#include "base-rng.h"

#include <math.h>
#include <string.h>
#include <sys/random.h>
#include <xxhash.h>

/* Returns a source that yields the same sequence for the same seed. */
HrRng
HrRng_FromSeed(uint64_t seed)
{
    HrRng rng = {.seed = seed, .counter = 0};

    return rng;
}

/* Returns a source seeded by the system. */
HrRng
HrRng_FromSystem(void)
{
    uint64_t seed = 0;

    while (getrandom(&seed, sizeof(seed), 0) != (ssize_t)sizeof(seed)) {
        continue;
    }
    return HrRng_FromSeed(seed);
}

/* Returns 64 random bits. */
uint64_t
HrRng_Next(HrRng *rng)
{
    uint64_t counter = rng->counter++;

    return XXH64(&counter, sizeof(counter), rng->seed);
}

/* Returns a random number below bound; 0 when bound is 0. */
uint64_t
HrRng_Below(HrRng *rng, uint64_t bound)
{
    /* The multiplication maps 64 random bits to [0, bound) without the
     * bias of a remainder for small bounds. */
    return (uint64_t)(((unsigned __int128)HrRng_Next(rng) * bound) >> 64);
}

/* Returns a random number in [0, 1). */
double
HrRng_Unit(HrRng *rng)
{
    return (double)(HrRng_Next(rng) >> 11) * 0x1.0p-53;
}

/* Returns true with the given probability. */
int
HrRng_Chance(HrRng *rng, double probability)
{
    return HrRng_Unit(rng) < probability;
}

/* Returns an exponentially distributed duration with the given mean. */
int64_t
HrRng_ExponentialNs(HrRng *rng, int64_t mean_ns)
{
    return (int64_t)(-log1p(-HrRng_Unit(rng)) * (double)mean_ns);
}

/* Hashes bytes with a seed; the same on every VM. */
uint64_t
HrHash_Bytes(const void *data, uint64_t length_bytes, uint64_t seed)
{
    return XXH64(data, length_bytes, seed);
}

/* Hashes a string with a seed. */
uint64_t
HrHash_String(const char *text, uint64_t seed)
{
    return XXH64(text, strlen(text), seed);
}
