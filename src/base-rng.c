#include "base-rng.h"

#include <math.h>
#include <string.h>
#include <sys/random.h>
#include <xxhash.h>

/* Returns a generator that yields the same sequence for the same seed. */
HrRng
HrRng_FromSeed(uint64_t seed)
{
    HrRng rng = {.seed = seed, .counter = 0};

    return rng;
}

/* Returns a generator with a random seed from the kernel. */
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
HrRng_DrawU64(HrRng *rng)
{
    uint64_t counter = rng->counter++;

    return XXH64(&counter, sizeof(counter), rng->seed);
}

/* Returns a random number in [0, bound); 0 if bound is 0. */
uint64_t
HrRng_DrawBelow(HrRng *rng, uint64_t bound)
{
    /* Scaling 64 random bits to [0, bound) by a multiplication avoids the
     * bias of a remainder for small bounds. */
    return (uint64_t)(((unsigned __int128)HrRng_DrawU64(rng) * bound) >> 64);
}

/* Returns a random number in [0, 1). */
double
HrRng_DrawUnit(HrRng *rng)
{
    return (double)(HrRng_DrawU64(rng) >> 11) * 0x1.0p-53;
}

/* Returns 1 with the given probability, otherwise 0. */
int
HrRng_DrawBool(HrRng *rng, double probability)
{
    return HrRng_DrawUnit(rng) < probability;
}

/* Returns an exponentially distributed duration with the given mean. */
int64_t
HrRng_DrawExponentialNs(HrRng *rng, int64_t mean_ns)
{
    return (int64_t)(-log1p(-HrRng_DrawUnit(rng)) * (double)mean_ns);
}

/* Returns the hash of bytes with a seed. It is the same on every VM. */
uint64_t
HrHash_Bytes(const void *data, uint64_t length_bytes, uint64_t seed)
{
    return XXH64(data, length_bytes, seed);
}

/* Returns the hash of a string, without its zero byte, with a seed. */
uint64_t
HrHash_String(const char *text, uint64_t seed)
{
    return XXH64(text, strlen(text), seed);
}
