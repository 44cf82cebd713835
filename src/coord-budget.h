#ifndef HR_COORD_BUDGET_H
#define HR_COORD_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Most tokens that a group may save up: a short burst of failures, such as
 * the loss of one server with all its running requests, stays covered. */
#define HR_BUDGET_BURST 10.0

/* Tokens that hedges leave to retries: a hedge only shortens the tail, but
 * without a retry the shard is missing. */
#define HR_BUDGET_RETRY_RESERVE 3.0

/* The extra load that hedges and retries may place on a group's servers, as
 * a share of first attempts. Embedded in its owner. */
typedef struct HrBudget {
    double share; /* tokens earned by one first attempt */
    double tokens;
    bool overloaded;
} HrBudget;

/* Starts with a full burst. */
void HrBudget_Init(HrBudget *budget, uint32_t extra_load_percent);

/* Changes the share; the tokens are kept. */
void HrBudget_SetShare(HrBudget *budget, uint32_t extra_load_percent);

/* Earns the tokens of one first attempt. */
void HrBudget_Earn(HrBudget *budget);

/* While the group is overloaded, no token may be taken. */
void HrBudget_SetOverloaded(HrBudget *budget, bool overloaded);

/* Takes a token for a hedge; false when none may be taken. */
bool HrBudget_TakeForHedge(HrBudget *budget);

/* Takes a token for a retry that may repeat work; false when none may be
 * taken. */
bool HrBudget_TakeForRetry(HrBudget *budget);

/* Charges an attempt that repeats no work, because the server that it
 * replaces said that it did not start. It is never refused, but it leaves
 * less for hedges; the debt is bounded by one burst. */
void HrBudget_Charge(HrBudget *budget);

/* Returns the filled part of what hedges may take, from 0 to 1. */
double HrBudget_Level(const HrBudget *budget);

#endif
