#include "oracle-internal.h"

#include <stdarg.h>

struct oracle
{
  oracle_failure_t failure;
  oracle_slots_t *slots;
  oracle_rates_t *rates;
  oracle_requests_t *requests;
  oracle_drains_t *drains;
  oracle_generations_t *generations;
};

void
oracle_fail (oracle_failure_t *failure, const char *name, const char *format, ...)
{
  va_list arguments;

  if (failure->name != NULL)
    return;
  failure->name = name;
  va_start (arguments, format);
  g_vsnprintf (failure->reason, sizeof failure->reason, format, arguments);
  va_end (arguments);
}

void
oracle_reachability_compute (oracle_reachability_t *reachability, const fake_net_t *net)
{
  gboolean changed = TRUE;

  for (guint i = 0; i < net->n_entries; i++)
    reachability->group[i] = i;
  while (changed)
    {
      changed = FALSE;
      for (guint a = 0; a < net->n_entries; a++)
        for (guint b = 0; b < net->n_entries; b++)
          if (reachability->group[a] < reachability->group[b] && fake_net_connected (net, a, b)
              && fake_net_discovered (net, a, b))
            {
              reachability->group[b] = reachability->group[a];
              changed = TRUE;
            }
    }
}

oracle_t *
oracle_new (const anvil_config_t *config)
{
  oracle_t *oracle = g_new0 (oracle_t, 1);

  oracle->slots = oracle_slots_new (config);
  oracle->rates = oracle_rates_new (config);
  oracle->requests = oracle_requests_new ();
  oracle->drains = oracle_drains_new (config);
  oracle->generations = oracle_generations_new (config);
  return oracle;
}

void
oracle_drop (oracle_t *oracle)
{
  if (oracle == NULL)
    return;
  oracle_slots_drop (oracle->slots);
  oracle_rates_drop (oracle->rates);
  oracle_requests_drop (oracle->requests);
  oracle_drains_drop (oracle->drains);
  oracle_generations_drop (oracle->generations);
  g_free (oracle);
}

void
oracle_record (void *context, const fake_record_t *record)
{
  oracle_t *oracle = context;

  oracle_slots_record (oracle->slots, &oracle->failure, record);
  oracle_rates_record (oracle->rates, &oracle->failure, record);
  oracle_requests_record (oracle->requests, &oracle->failure, record);
  oracle_drains_record (oracle->drains, &oracle->failure, record);
  oracle_generations_record (oracle->generations, &oracle->failure, record);
}

static guint
count_seat_users (const fake_net_t *net, guint seat)
{
  guint users = 0;

  for (guint i = 0; i < net->n_entries; i++)
    {
      const fake_entry_t *entry = &net->entries[i];
      anvil_seat_status_t status;

      if (entry->steer == NULL || entry->frozen)
        continue;
      if (anvil_steer_seat_status (entry->steer, fake_net_local_time (entry, fake_net_now (net)),
                                   seat, &status)
          && status.usable)
        users++;
    }
  return users;
}

void
oracle_check (oracle_t *oracle, const fake_net_t *net)
{
  oracle_reachability_t reachability;

  oracle_reachability_compute (&reachability, net);
  oracle_requests_update (oracle->requests, &oracle->failure, net);
  oracle_drains_update (oracle->drains, net, &reachability);
  oracle_generations_update (oracle->generations, &oracle->failure, net, &reachability);
  for (guint seat = 0; seat < net->options.config->n_seats; seat++)
    if (count_seat_users (net, seat) > 1)
      oracle_fail (&oracle->failure, "seat", "seat %u has %u users", seat,
                   count_seat_users (net, seat));
}

void
oracle_check_recovered (oracle_t *oracle, const fake_net_t *net)
{
  guint64 newest = fake_platform_newest_generation (net->platform);
  const anvil_config_t *config = fake_platform_file (net->platform, newest)->config;

  oracle_check (oracle, net);
  for (guint seat = 0; seat < config->n_seats; seat++)
    if (count_seat_users (net, seat) == 0)
      oracle_fail (&oracle->failure, "recovery", "seat %u is used by nobody", seat);
  for (guint i = 0; i < net->n_entries; i++)
    if (net->entries[i].alive && net->entries[i].generation != newest)
      oracle_fail (&oracle->failure, "recovery", "entry %u is on generation %" G_GUINT64_FORMAT, i,
                   net->entries[i].generation);
}

const char *
oracle_failed (const oracle_t *oracle)
{
  return oracle->failure.name;
}

const char *
oracle_reason (const oracle_t *oracle)
{
  return oracle->failure.reason;
}
