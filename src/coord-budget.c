#include "coord-budget.h"

/* Starts with a full burst. */
void
HrBudget_Init(HrBudget *budget, uint32_t extra_load_percent)
{
    budget->tokens = extra_load_percent == 0 ? 0 : HR_BUDGET_BURST;
    budget->overloaded = false;
    HrBudget_SetShare(budget, extra_load_percent);
}

/* Changes the share; the tokens are kept. */
void
HrBudget_SetShare(HrBudget *budget, uint32_t extra_load_percent)
{
    budget->share = (double)extra_load_percent / 100;
    if (extra_load_percent == 0) {
        budget->tokens = 0;
    }
}

/* Earns the tokens of one first attempt. */
void
HrBudget_Earn(HrBudget *budget)
{
    budget->tokens += budget->share;
    if (budget->tokens > HR_BUDGET_BURST) {
        budget->tokens = HR_BUDGET_BURST;
    }
}

/* While the group is overloaded, no token may be taken. */
void
HrBudget_SetOverloaded(HrBudget *budget, bool overloaded)
{
    budget->overloaded = overloaded;
}

/* Takes a token if that leaves a reserve. */
static bool
take_token(HrBudget *budget, double reserve)
{
    if (budget->overloaded || budget->tokens < 1 + reserve) {
        return false;
    }
    budget->tokens -= 1;
    return true;
}

/* Takes a token for a hedge. */
bool
HrBudget_TakeForHedge(HrBudget *budget)
{
    return take_token(budget, HR_BUDGET_RETRY_RESERVE);
}

/* Takes a token for a retry that may repeat work. */
bool
HrBudget_TakeForRetry(HrBudget *budget)
{
    return take_token(budget, 0);
}

/* Charges an attempt that repeats no work. */
void
HrBudget_Charge(HrBudget *budget)
{
    budget->tokens -= 1;
    if (budget->tokens < -HR_BUDGET_BURST) {
        budget->tokens = -HR_BUDGET_BURST;
    }
}

/* Returns the filled part of what hedges may take, from 0 to 1. */
double
HrBudget_Level(const HrBudget *budget)
{
    double tokens = budget->tokens - HR_BUDGET_RETRY_RESERVE;

    return tokens <= 0 ? 0
                       : tokens / (HR_BUDGET_BURST - HR_BUDGET_RETRY_RESERVE);
}
