#ifndef HR_COORD_BUDGET_H
#define HR_COORD_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Most tokens that a group may accumulate. They cover a short burst of
 * failures, such as the loss of one server with all its running requests. */
#define HR_BUDGET_BURST 10.0

/* Tokens that hedges leave to retries: a hedge only shortens the tail of the
 * latencies, but without a retry the shard is missing from the answer. */
#define HR_BUDGET_RETRY_RESERVE 3.0

/* A token bucket that limits the extra load of hedges and retries on a group's
 * servers to a share of the first attempts. Embedded in its owner. */
typedef struct HrBudget {
    double share; /* tokens that one first attempt adds */
    double tokens;
    bool overloaded;
} HrBudget;

/* Starts with HR_BUDGET_BURST tokens, or without any if extra_load_percent is
 * 0. */
void HrBudget_Init(HrBudget *budget, uint32_t extra_load_percent);

/* Changes the share of the first attempts. The tokens are kept, unless the
 * share is 0. */
void HrBudget_SetShare(HrBudget *budget, uint32_t extra_load_percent);

/* Adds the tokens of one first attempt, up to HR_BUDGET_BURST. Call it once
 * for each sub-request that is sent. */
void HrBudget_AddFirstAttempt(HrBudget *budget);

/* While the group is overloaded, no token may be taken. */
void HrBudget_SetOverloaded(HrBudget *budget, bool overloaded);

/* Takes a token for a hedge. Returns false if none may be taken; the hedge
 * must not be sent then. */
bool HrBudget_TakeForHedge(HrBudget *budget);

/* Takes a token for a retry that may repeat work. Returns false if none may be
 * taken; the retry must not be sent then. */
bool HrBudget_TakeForRetry(HrBudget *budget);

/* Takes a token for a retry that repeats no work, because the earlier attempt
 * was not sent or its server said that it did not start on it. Such a retry is
 * never refused, but it leaves less for hedges: the number of tokens may
 * become negative, down to -HR_BUDGET_BURST. */
void HrBudget_ChargeRetry(HrBudget *budget);

/* Returns how full the part of the bucket is that hedges may use, from 0 to
 * 1. */
double HrBudget_GetHedgeLevel(const HrBudget *budget);

#endif
