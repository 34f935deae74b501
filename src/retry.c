#include "goldcresthatch/retry.h"

enum
{
  TOKEN_PERMIL = 1000 /* one token, in permil */
};

const struct retry_config retry_defaults = {
  .ratio_permil = 100,
  .reserve = 10,
  .burst = 100,
  .attempts_max = 3,
  .backoff_us = 50000,
  .backoff_max_us = 1000000,
};

static const char *const verdict_names[RETRY_VERDICT_MAX] = {
  [RETRY_YES] = "retry",
  [RETRY_NO_INVALID] = "invalid request",
  [RETRY_NO_UNSAFE] = "may have run",
  [RETRY_NO_ATTEMPTS] = "no attempts left",
  [RETRY_NO_TIME] = "no time left",
  [RETRY_NO_BUDGET] = "no budget left",
};

/* Adds PERMIL thousandths of a token, up to the size of the bucket.  */
static void
add_tokens (struct retry_budget *budget, const struct retry_config *config,
            uint64_t permil)
{
  uint64_t limit = (uint64_t)config->burst * TOKEN_PERMIL;

  budget->permil += permil;
  if (budget->permil > limit)
    budget->permil = limit;
}

void
retry_init (struct retry_budget *budget, const struct retry_config *config)
{
  budget->permil = 0;
  add_tokens (budget, config, (uint64_t)config->reserve * TOKEN_PERMIL);
}

void
retry_note_first (struct retry_budget *budget,
                  const struct retry_config *config)
{
  add_tokens (budget, config, config->ratio_permil);
}

/* Returns a random delay between half of the bound and the bound, which
   doubles with each of the ATTEMPTS made (exponential back-off with
   jitter).  */
static int64_t
backoff (const struct retry_config *config, unsigned attempts, uint64_t random)
{
  int64_t bound = config->backoff_us;
  int64_t half;
  unsigned i;

  for (i = 1; i < attempts && bound < config->backoff_max_us; i++)
    bound *= 2;
  if (bound > config->backoff_max_us)
    bound = config->backoff_max_us;
  if (bound <= 0)
    return 0;
  half = bound / 2;
  return half + (int64_t)(random % (uint64_t)(bound - half + 1));
}

struct retry_decision
retry_decide (struct retry_budget *budget, const struct retry_config *config,
              const struct retry_attempt *attempt, int64_t now,
              uint64_t random)
{
  struct retry_decision decision = { RETRY_YES, 0 };

  decision.delay_us = backoff (config, attempt->attempts, random);
  if (attempt->failure == RETRY_INVALID)
    decision.verdict = RETRY_NO_INVALID;
  else if (!attempt->idempotent && attempt->failure != RETRY_NOT_RUN)
    decision.verdict = RETRY_NO_UNSAFE;
  else if (attempt->attempts >= config->attempts_max)
    decision.verdict = RETRY_NO_ATTEMPTS;
  else if (attempt->deadline_us
           && now + decision.delay_us + attempt->needed_us
                  >= attempt->deadline_us)
    decision.verdict = RETRY_NO_TIME;
  else if (budget->permil < TOKEN_PERMIL)
    decision.verdict = RETRY_NO_BUDGET;
  if (decision.verdict == RETRY_YES)
    budget->permil -= TOKEN_PERMIL;
  else
    decision.delay_us = 0;
  return decision;
}

const char *
retry_verdict_name (enum retry_verdict verdict)
{
  return verdict_names[verdict];
}
