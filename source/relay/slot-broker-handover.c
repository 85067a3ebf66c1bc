#include "relay/slot-broker-internal.h"

#include <string.h>

#include "anvil/log.h"

static void
send_retry_counts (anvil_slot_broker_t *broker,
                   const service_t *service,
                   const anvil_retry_counts_t *counts,
                   guint n_counts)
{
  anvil_relay_message_t *message = g_new0 (anvil_relay_message_t, 1);

  message->kind = ANVIL_RELAY_RETRY_COUNTS;
  message->service = anvil_str (service->name);
  message->n_retry_counts = n_counts;
  memcpy (message->retry_counts, counts, n_counts * sizeof *counts);
  broker_send (broker, service->holder, message);
  g_free (message);
}

static void
hand_over (anvil_slot_broker_t *broker, anvil_time_t now, service_t *service)
{
  anvil_retry_counts_t counts[ANVIL_MAX_RETRY_ORIGINS];
  guint n = anvil_dispatcher_list_retry_counts (broker->dispatcher, now, anvil_str (service->name),
                                                counts);
  guint64 n_attempts = 0;

  for (guint i = 0; i < n; i++)
    {
      if (counts[i].origin == 0)
        counts[i].origin = anvil_members_self (broker->members)->incarnation;
      n_attempts += counts[i].n_attempts;
    }
  if (n == 0
      || (service->holder == service->retry_counts_sent_to
          && n_attempts == service->n_attempts_sent))
    return;
  send_retry_counts (broker, service, counts, n);
  service->retry_counts_sent_to = service->holder;
  service->n_attempts_sent = n_attempts;
}

void
broker_hand_over_retry_counts (anvil_slot_broker_t *broker, anvil_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, broker->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      service_t *service = value;

      if (service->holder == broker->self)
        service->retry_counts_sent_to = 0;
      else if (service->holder != 0)
        hand_over (broker, now, service);
    }
}

void
broker_add_retry_counts (anvil_slot_broker_t *broker, const anvil_relay_message_t *message)
{
  const guint64 own = anvil_members_self (broker->members)->incarnation;

  for (guint i = 0; i < message->n_retry_counts; i++)
    {
      const anvil_retry_counts_t *counts = &message->retry_counts[i];

      if (counts->origin != own
          && !anvil_dispatcher_add_retry_counts (broker->dispatcher, anvil_clock_now (),
                                                 message->service, counts))
        anvil_log (ANVIL_LOG_NOTICE, "broker",
                   "retry counts of another holder not added, there are too many service=%.*s",
                   ANVIL_STR_ARGS (message->service));
    }
}
