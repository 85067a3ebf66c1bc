#include "relay/relay-job-internal.h"

gboolean
job_may_be_sent (const job_t *job)
{
  const anvil_relay_jobs_t *jobs = job->jobs;

  return job->task.deadline <= jobs->stop_at || (job_is_idempotent (job) && !jobs->refusing_new);
}

void
job_fail_for_shutdown (job_t *job)
{
  job_fail (job, STATUS_BAD_GATEWAY, "leaving", SHUTDOWN_RETRY_AFTER);
}

static void
refuse_if_it_may_not_be_sent (job_t *job, gconstpointer unused)
{
  if (job->state != JOB_WAITING_FOR_SLOT || job_may_be_sent (job))
    return;
  /* It may be running. */
  if (job->forwarded)
    {
      job_withdraw (job);
      return;
    }
  job_cancel_slot_request (job);
  job_fail_for_shutdown (job);
}

void
anvil_relay_jobs_begin_shutdown (anvil_relay_jobs_t *jobs, anvil_time_t stop_at)
{
  jobs->stop_at = stop_at;
  jobs_foreach (jobs, refuse_if_it_may_not_be_sent, NULL);
}

void
anvil_relay_jobs_refuse_new (anvil_relay_jobs_t *jobs)
{
  if (jobs->refusing_new)
    return;
  jobs->refusing_new = TRUE;
  jobs_foreach (jobs, refuse_if_it_may_not_be_sent, NULL);
}

static void
end_job (job_t *job, gconstpointer unused)
{
  if (job->state == JOB_RUNNING)
    job_cancel_attempt (job);
  else
    job_cancel_slot_request (job);
  job_fail (job, STATUS_GATEWAY_TIMEOUT, "stopped", SHUTDOWN_RETRY_AFTER);
}

void
anvil_relay_jobs_end (anvil_relay_jobs_t *jobs)
{
  jobs_foreach (jobs, end_job, NULL);
}
