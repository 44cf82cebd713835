#ifndef HR_BASE_RNG_H
#define HR_BASE_RNG_H

#include <stdint.h>

/* A seeded generator of pseudo-random numbers: the hash of a counter. */
typedef struct HrRng {
    uint64_t seed;
    uint64_t counter;
} HrRng;

/* Returns a generator that yields the same sequence for the same seed. */
HrRng HrRng_FromSeed(uint64_t seed);

/* Returns a generator with a random seed from the kernel. */
HrRng HrRng_FromSystem(void);

/* Returns the next 64 random bits and advances the generator. */
uint64_t HrRng_DrawU64(HrRng *rng);

/* Returns a random number in [0, bound); 0 if bound is 0. */
uint64_t HrRng_DrawBelow(HrRng *rng, uint64_t bound);

/* Returns a random number in [0, 1). */
double HrRng_DrawUnit(HrRng *rng);

/* Returns 1 with the given probability, otherwise 0. */
int HrRng_DrawBool(HrRng *rng, double probability);

/* Returns an exponentially distributed duration with the given mean. */
int64_t HrRng_DrawExponentialNs(HrRng *rng, int64_t mean_ns);

/* Returns the hash of bytes with a seed. It is the same on every VM. */
uint64_t HrHash_Bytes(const void *data, uint64_t length_bytes, uint64_t seed);

/* Returns the hash of a string, without its zero byte, with a seed. */
uint64_t HrHash_String(const char *text, uint64_t seed);

#endif
