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

/* While the group is overloaded, HrBudget_Take grants nothing. */
void
HrBudget_SetOverloaded(HrBudget *budget, bool overloaded)
{
    budget->overloaded = overloaded;
}

/* Takes a token for an attempt that may repeat work. */
bool
HrBudget_Take(HrBudget *budget)
{
    if (budget->overloaded || budget->tokens < 1) {
        return false;
    }
    budget->tokens -= 1;
    return true;
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

/* Returns the filled part of the burst, from 0 to 1. */
double
HrBudget_Level(const HrBudget *budget)
{
    return budget->tokens <= 0 ? 0 : budget->tokens / HR_BUDGET_BURST;
}
