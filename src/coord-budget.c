#include "coord-budget.h"

void
HrBudget_Init(HrBudget *budget, uint32_t extra_load_percent)
{
    budget->tokens = extra_load_percent == 0 ? 0 : HR_BUDGET_BURST;
    budget->overloaded = false;
    HrBudget_SetShare(budget, extra_load_percent);
}

void
HrBudget_SetShare(HrBudget *budget, uint32_t extra_load_percent)
{
    budget->share = (double)extra_load_percent / 100;
    if (extra_load_percent == 0) {
        budget->tokens = 0;
    }
}

void
HrBudget_AddFirstAttempt(HrBudget *budget)
{
    budget->tokens += budget->share;
    if (budget->tokens > HR_BUDGET_BURST) {
        budget->tokens = HR_BUDGET_BURST;
    }
}

void
HrBudget_SetOverloaded(HrBudget *budget, bool overloaded)
{
    budget->overloaded = overloaded;
}

/* Takes a token if at least reserve tokens are left afterwards. */
static bool
take_token(HrBudget *budget, double reserve)
{
    if (budget->overloaded || budget->tokens < 1 + reserve) {
        return false;
    }
    budget->tokens -= 1;
    return true;
}

bool
HrBudget_TakeForHedge(HrBudget *budget)
{
    return take_token(budget, HR_BUDGET_RETRY_RESERVE);
}

bool
HrBudget_TakeForRetry(HrBudget *budget)
{
    return take_token(budget, 0);
}

void
HrBudget_ChargeRetry(HrBudget *budget)
{
    budget->tokens -= 1;
    if (budget->tokens < -HR_BUDGET_BURST) {
        budget->tokens = -HR_BUDGET_BURST;
    }
}

double
HrBudget_GetHedgeLevel(const HrBudget *budget)
{
    double tokens = budget->tokens - HR_BUDGET_RETRY_RESERVE;

    return tokens <= 0 ? 0
                       : tokens / (HR_BUDGET_BURST - HR_BUDGET_RETRY_RESERVE);
}
