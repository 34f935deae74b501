#include "hop.h"

struct hop_row
{
  enum hop_run run;
  enum hop_act act;
};

/* Rows of several ways to send a request.  A prompt that is read is not run,
   whatever becomes of it, and no answer to it is for the client.  */
#define RUNNER_ROW                                                            \
  {                                                                           \
    [HOP_REPLY_UNSENT] = { HOP_NOT_RUN, HOP_RETRY_OR_FAIL },                  \
    [HOP_REPLY_REFUSAL] = { HOP_NOT_RUN, HOP_RETRY_OR_FAIL },                 \
    [HOP_REPLY_REJECTED] = { HOP_NOT_RUN, HOP_RETRY_OR_FAIL },                \
    [HOP_REPLY_SUCCESS] = { HOP_HAS_RUN, HOP_PASS },                          \
    [HOP_REPLY_UNPROVED] = { HOP_MAY_HAVE_RUN, HOP_RETRY_OR_FAIL },           \
    [HOP_REPLY_CLIENT] = { HOP_HAS_RUN, HOP_PASS },                           \
    [HOP_REPLY_BUSY] = { HOP_HAS_RUN, HOP_RETRY_OR_FAIL },                    \
    [HOP_REPLY_ERROR] = { HOP_HAS_RUN, HOP_RETRY_OR_PASS },                   \
    [HOP_REPLY_INVALID] = { HOP_MAY_HAVE_RUN, HOP_RETRY_OR_FAIL },            \
    [HOP_REPLY_CUT] = { HOP_MAY_HAVE_RUN, HOP_RETRY_OR_FAIL },                \
    [HOP_REPLY_SILENT] = { HOP_MAY_HAVE_RUN, HOP_RETRY_OR_FAIL },             \
  }

/* An endpoint has neither stamp nor word.  The caller of an entry learns from
   a field of the entry's own whether a request has not run, so that any final
   status can be passed on.  */
#define OWN_ROW                                                               \
  {                                                                           \
    [HOP_REPLY_UNSENT] = { HOP_NOT_RUN, HOP_RETRY_OR_FAIL },                  \
    [HOP_REPLY_REFUSAL] = { HOP_NOT_RUN, HOP_RETRY_OR_FAIL },                 \
    [HOP_REPLY_REJECTED] = { HOP_NOT_RUN, HOP_RETRY_OR_FAIL },                \
    [HOP_REPLY_SUCCESS] = { HOP_HAS_RUN, HOP_PASS },                          \
    [HOP_REPLY_UNPROVED] = { HOP_HAS_RUN, HOP_PASS },                         \
    [HOP_REPLY_CLIENT] = { HOP_HAS_RUN, HOP_PASS },                           \
    [HOP_REPLY_BUSY] = { HOP_HAS_RUN, HOP_PASS },                             \
    [HOP_REPLY_ERROR] = { HOP_HAS_RUN, HOP_PASS },                            \
    [HOP_REPLY_INVALID] = { HOP_MAY_HAVE_RUN, HOP_RETRY_OR_FAIL },            \
    [HOP_REPLY_CUT] = { HOP_MAY_HAVE_RUN, HOP_RETRY_OR_FAIL },                \
    [HOP_REPLY_SILENT] = { HOP_MAY_HAVE_RUN, HOP_RETRY_OR_FAIL },             \
  }

static const struct hop_row rows[HOP_VIA_MAX][HOP_REPLY_MAX]
    = { [HOP_RUN] = RUNNER_ROW,
        [HOP_MOVED] = RUNNER_ROW,
        [HOP_READ]
        = { [HOP_REPLY_UNSENT] = { HOP_NOT_RUN, HOP_RETRY_OR_FAIL },
            [HOP_REPLY_REFUSAL] = { HOP_NOT_RUN, HOP_RETRY_OR_FAIL },
            [HOP_REPLY_REJECTED] = { HOP_NOT_RUN, HOP_RETRY_OR_FAIL },
            [HOP_REPLY_SUCCESS] = { HOP_NOT_RUN, HOP_GO_ON },
            [HOP_REPLY_UNPROVED] = { HOP_NOT_RUN, HOP_GO_ON },
            [HOP_REPLY_CLIENT] = { HOP_NOT_RUN, HOP_RETRY_OR_FAIL },
            [HOP_REPLY_BUSY] = { HOP_NOT_RUN, HOP_RETRY_OR_FAIL },
            [HOP_REPLY_ERROR] = { HOP_NOT_RUN, HOP_RETRY_OR_FAIL },
            [HOP_REPLY_INVALID] = { HOP_NOT_RUN, HOP_RETRY_OR_FAIL },
            [HOP_REPLY_CUT] = { HOP_NOT_RUN, HOP_RETRY_OR_FAIL },
            [HOP_REPLY_SILENT] = { HOP_NOT_RUN, HOP_RETRY_OR_FAIL } },
        /* Of the other gateway itself; a runner's answer that it passes on is
           judged by the row of a runner.  What bears no word and no sign of a
           runner may be either.  */
        [HOP_RELAY]
        = { [HOP_REPLY_UNSENT] = { HOP_NOT_RUN, HOP_ELSEWHERE },
            [HOP_REPLY_REFUSAL] = { HOP_NOT_RUN, HOP_PASS_REFUSAL },
            [HOP_REPLY_REJECTED] = { HOP_NOT_RUN, HOP_ELSEWHERE },
            [HOP_REPLY_SUCCESS] = { HOP_MAY_HAVE_RUN, HOP_RETRY_OR_FAIL },
            [HOP_REPLY_UNPROVED] = { HOP_MAY_HAVE_RUN, HOP_RETRY_OR_FAIL },
            [HOP_REPLY_CLIENT] = { HOP_MAY_HAVE_RUN, HOP_RETRY_OR_FAIL },
            [HOP_REPLY_BUSY] = { HOP_MAY_HAVE_RUN, HOP_RETRY_OR_FAIL },
            [HOP_REPLY_ERROR] = { HOP_MAY_HAVE_RUN, HOP_RETRY_OR_FAIL },
            [HOP_REPLY_INVALID] = { HOP_MAY_HAVE_RUN, HOP_RETRY_OR_FAIL },
            [HOP_REPLY_CUT] = { HOP_MAY_HAVE_RUN, HOP_RETRY_OR_FAIL },
            [HOP_REPLY_SILENT] = { HOP_MAY_HAVE_RUN, HOP_RETRY_OR_FAIL } },
        [HOP_ENDPOINT] = OWN_ROW,
        [HOP_AGENT] = OWN_ROW };

static const char *const reply_names[HOP_REPLY_MAX]
    = { [HOP_REPLY_UNSENT] = "unreached",
        [HOP_REPLY_REFUSAL] = "not run",
        [HOP_REPLY_REJECTED] = "not run",
        [HOP_REPLY_SUCCESS] = "success",
        [HOP_REPLY_UNPROVED] = "no stamp",
        [HOP_REPLY_CLIENT] = "client error",
        [HOP_REPLY_BUSY] = "status without its word",
        [HOP_REPLY_ERROR] = "runner failed",
        [HOP_REPLY_INVALID] = "invalid status",
        [HOP_REPLY_CUT] = "broken",
        [HOP_REPLY_SILENT] = "silent" };

int
hop_is_promise (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

int
hop_is_final (int status)
{
  return status >= 200 && status <= 599;
}

const char *
hop_reply_name (enum hop_reply reply)
{
  return reply_names[reply];
}

static enum hop_reply
classify_whole (const struct hop_answer *answer)
{
  int status = answer->status;

  if (!hop_is_final (status))
    return HOP_REPLY_INVALID;
  if (status < 300)
    return answer->stamped && !answer->not_run ? HOP_REPLY_SUCCESS
                                               : HOP_REPLY_UNPROVED;
  if (answer->not_run)
    return hop_is_promise (status) ? HOP_REPLY_REFUSAL : HOP_REPLY_REJECTED;
  if (hop_is_promise (status))
    return HOP_REPLY_BUSY;
  return status < 500 ? HOP_REPLY_CLIENT : HOP_REPLY_ERROR;
}

static enum hop_reply
classify (const struct hop_answer *answer)
{
  static const enum hop_reply without_answer[HOP_END_MAX]
      = { [HOP_END_UNSENT] = HOP_REPLY_UNSENT,
          [HOP_END_CUT] = HOP_REPLY_CUT,
          [HOP_END_SILENT] = HOP_REPLY_SILENT };

  return answer->end == HOP_END_WHOLE ? classify_whole (answer)
                                      : without_answer[answer->end];
}

struct hop_verdict
hop_judge (const struct hop_send *send, const struct hop_answer *answer)
{
  enum hop_via via = send->via;
  struct hop_verdict verdict = { .reply = classify (answer) };
  const struct hop_row *row;

  /* Gateways bear no stamp and name no request in answers of their own.  */
  if (via == HOP_RELAY && answer->end == HOP_END_WHOLE
      && (answer->stamped || answer->id == HOP_ID_OWN))
    via = HOP_RUN;
  row = &rows[via][verdict.reply];
  verdict.run = row->run;
  verdict.act = row->act;
  if (verdict.act == HOP_RETRY_OR_PASS && !send->repeatable)
    verdict.act = HOP_PASS;
  /* The time-out of a transfer between gateways is none of the client's.  */
  if (verdict.act == HOP_PASS_REFUSAL && answer->status != 429
      && answer->status != 503)
    verdict.act = HOP_ELSEWHERE;
  /* Only the rest of an answer that has begun can follow it.  */
  if (send->began && verdict.act != HOP_GO_ON
      && !(verdict.reply == HOP_REPLY_SUCCESS && answer->status == 200))
    verdict.act = HOP_RETRY_OR_FAIL;
  return verdict;
}

enum hop_owner
hop_owner (enum hop_via via, int reused, const struct hop_answer *answer)
{
  if (answer->id == HOP_ID_OWN)
    return HOP_OWN_ANSWER;
  if (answer->id == HOP_ID_OTHER)
    return HOP_OTHER_ANSWER;
  /* Gateways answer each request once.  */
  if (via != HOP_RELAY && reused)
    return HOP_UNOWNED;
  /* Runners name the request in each success.  */
  return answer->status < 300 && answer->stamped ? HOP_OTHER_ANSWER
                                                 : HOP_OWN_ANSWER;
}
