#include "entry_control.h"

#include <string.h>

#include "goldcresthatch/log.h"

enum
{
  PLAN_PERIOD_US = 1 * G_USEC_PER_SEC,
  /* A request's tokens are counted when it ends, so a shorter sample of the
     rates mostly depends on which requests happen to end in it.  */
  SAMPLE_MIN_US = 10 * G_USEC_PER_SEC,
  SAMPLES_MIN = 6
};

/* The maximum rates P and D of prefill and decode of one runner follow from
   samples in which all runners were fully used throughout: in each,
   prefill/P + decode/D = 1, solved for 1/P and 1/D by least squares.  Samples
   with the same ratio of prefill to decode do not determine both rates; the
   determinant is then below this part of the product of its diagonal, and no
   role is planned.  */
static const double relative_determinant_min = 0.01;

static const double us_per_s = 1e6;

struct control_plan
{
  struct role_stats stats;
  struct role_planner planner;
  gint64 sample_us;     /* start of the current sample, 0 before the first */
  int all_full;         /* all runners were full throughout the sample */
  double prompt_tokens; /* of all runners in the sample */
  double output_tokens; /* likewise */
  unsigned samples;
  /* Sums over the samples of the rates of one runner, prefill p and decode d,
     and of their squares and products.  */
  double sum_pp;
  double sum_pd;
  double sum_dd;
  double sum_p;
  double sum_d;
};

void
control_plan_free (gpointer plan)
{
  g_free (plan);
}

static struct control_plan *
find_plan (struct control_shard *shard, const char *model,
           double change_cost_s)
{
  struct control_plan *plan = g_hash_table_lookup (shard->plans, model);
  struct role_settings settings = role_settings_default ();

  if (plan == NULL)
    {
      plan = g_new0 (struct control_plan, 1);
      settings.role_change_cost_s = change_cost_s;
      role_stats_init (&plan->stats);
      role_planner_init (&plan->planner, &settings);
      g_hash_table_insert (shard->plans, g_strdup (model), plan);
    }
  plan->planner.settings.role_change_cost_s = change_cost_s;
  return plan;
}

/* Lists the engines of SHARD that serve MODEL.  */
static GPtrArray *
list_runners (struct entry_control *control, struct control_shard *shard,
              const char *model, gint64 now_us)
{
  GPtrArray *list = g_ptr_array_new ();
  struct control_runner *runner;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, control->runners);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      runner = value;
      if (control_accepts_orders (runner, shard, now_us)
          && strcmp (runner->service, model) == 0)
        g_ptr_array_add (list, runner);
    }
  return list;
}

/* Adds the tokens that RUNNERS served since the last call to the demand and to
   the current sample.  */
static void
count_demand (struct control_plan *plan, GPtrArray *runners, gint64 now_us)
{
  struct control_runner *runner;
  double prompt = 0;
  double output = 0;
  guint i;

  for (i = 0; i < runners->len; i++)
    {
      runner = g_ptr_array_index (runners, i);
      prompt += (double)(runner->prompt_done - runner->prompt_in_demand);
      output += (double)(runner->output_done - runner->output_in_demand);
      runner->prompt_in_demand = runner->prompt_done;
      runner->output_in_demand = runner->output_done;
      plan->all_full = plan->all_full && runner->endpoint_up
                       && runner->state == MSG_AGENT_SERVING
                       && runner->running >= runner->capacity;
    }
  role_stats_add (&plan->stats, now_us, prompt, output);
  plan->prompt_tokens += prompt;
  plan->output_tokens += output;
}

/* Ends the current sample once it is long enough, and adds the mean rates of
   the RUNNERS runners in it to the sums if they were busy throughout.  */
static void
end_sample (struct control_plan *plan, guint runners, gint64 now_us)
{
  double span_s = (double)(now_us - plan->sample_us) / us_per_s;
  double p;
  double d;

  if (now_us - plan->sample_us < SAMPLE_MIN_US)
    return;
  if (plan->sample_us != 0 && plan->all_full && runners > 0)
    {
      p = plan->prompt_tokens / span_s / runners;
      d = plan->output_tokens / span_s / runners;
      plan->sum_pp += p * p;
      plan->sum_pd += p * d;
      plan->sum_dd += d * d;
      plan->sum_p += p;
      plan->sum_d += d;
      plan->samples++;
    }
  plan->sample_us = now_us;
  plan->all_full = 1;
  plan->prompt_tokens = 0;
  plan->output_tokens = 0;
}

/* Computes the maximum rates of one runner.  Returns 0 when the samples do not
   determine them.  */
static int
find_rates (const struct control_plan *plan, double *prefill, double *decode)
{
  double det = plan->sum_pp * plan->sum_dd - plan->sum_pd * plan->sum_pd;
  double a;
  double b;

  if (plan->samples < SAMPLES_MIN
      || !(det > relative_determinant_min * plan->sum_pp * plan->sum_dd))
    return 0;
  a = (plan->sum_p * plan->sum_dd - plan->sum_d * plan->sum_pd) / det;
  b = (plan->sum_d * plan->sum_pp - plan->sum_p * plan->sum_pd) / det;
  if (!(a > 0) || !(b > 0))
    return 0;
  *prefill = 1 / a;
  *decode = 1 / b;
  return 1;
}

static void
plan_model (struct control_plan *plan, const char *model, GPtrArray *runners,
            gint64 now_us)
{
  struct role_runner *list = g_new0 (struct role_runner, runners->len + 1);
  struct control_runner *runner;
  struct role_change change;
  double prefill;
  double decode;
  guint i;

  if (!find_rates (plan, &prefill, &decode))
    goto out;
  for (i = 0; i < runners->len; i++)
    {
      runner = g_ptr_array_index (runners, i);
      list[i].handle = i;
      list[i].role
          = runner->role_is_planned ? runner->role : runner->actual.role;
      list[i].usable
          = runner->endpoint_up && runner->state == MSG_AGENT_SERVING;
      list[i].changing = control_is_changing (runner, now_us)
                         || list[i].role != runner->actual.role;
      list[i].prefill_rate = prefill;
      list[i].decode_rate = decode;
      if (runner->capacity > 0)
        list[i].load
            = MIN (1, (double)runner->running / (double)runner->capacity);
    }
  if (role_plan (&plan->planner, now_us, &plan->stats, list, runners->len,
                 &change))
    {
      runner = g_ptr_array_index (runners, change.handle);
      runner->role_is_planned = 1;
      runner->role = change.to;
      log_write (LOG_LEVEL_INFO, NULL, "plan", runner->name,
                 "plans role %s for model %s: gain %.1f s, cost %.1f s",
                 engine_role_name (change.to), model, change.gain_s,
                 change.cost_s);
    }
out:
  g_free (list);
}

/* Returns the models that engines of SHARD serve, as a set.  */
static GHashTable *
list_models (struct entry_control *control, struct control_shard *shard,
             gint64 now_us)
{
  GHashTable *models = g_hash_table_new (g_str_hash, g_str_equal);
  struct control_runner *runner;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, control->runners);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      runner = value;
      if (control_accepts_orders (runner, shard, now_us)
          && runner->actual.model[0] != '\0')
        g_hash_table_add (models, runner->service);
    }
  return models;
}

void
control_plan_roles (struct entry_control *control, struct control_shard *shard,
                    double change_cost_s, gint64 now_us)
{
  struct control_plan *plan;
  GHashTable *models;
  GPtrArray *runners;
  GHashTableIter iter;
  gpointer model;

  if (now_us - shard->planned_us < PLAN_PERIOD_US)
    return;
  shard->planned_us = now_us;
  models = list_models (control, shard, now_us);
  g_hash_table_iter_init (&iter, models);
  while (g_hash_table_iter_next (&iter, &model, NULL))
    {
      plan = find_plan (shard, model, change_cost_s);
      runners = list_runners (control, shard, model, now_us);
      count_demand (plan, runners, now_us);
      end_sample (plan, runners->len, now_us);
      plan_model (plan, model, runners, now_us);
      g_ptr_array_free (runners, TRUE);
    }
  g_hash_table_destroy (models);
}
