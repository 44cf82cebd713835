#ifndef HR_BASE_RNG_H
#define HR_BASE_RNG_H

#include <stdint.h>

/* A seeded source of random numbers: the hash of a counter. */
typedef struct HrRng {
    uint64_t seed;
    uint64_t counter;
} HrRng;

/* Returns a source that yields the same sequence for the same seed. */
HrRng HrRng_FromSeed(uint64_t seed);

/* Returns a source seeded by the system. */
HrRng HrRng_FromSystem(void);

/* Returns 64 random bits. */
uint64_t HrRng_Next(HrRng *rng);

/* Returns a random number below bound; 0 when bound is 0. */
uint64_t HrRng_Below(HrRng *rng, uint64_t bound);

/* Returns a random number in [0, 1). */
double HrRng_Unit(HrRng *rng);

/* Returns true with the given probability. */
int HrRng_Chance(HrRng *rng, double probability);

/* Returns an exponentially distributed duration with the given mean. */
int64_t HrRng_ExponentialNs(HrRng *rng, int64_t mean_ns);

/* Hashes bytes with a seed; the same on every VM. */
uint64_t HrHash_Bytes(const void *data, uint64_t length_bytes, uint64_t seed);

/* Hashes a string with a seed. */
uint64_t HrHash_String(const char *text, uint64_t seed);

#endif
