#include "relay/link-usage.h"

#include <string.h>

#include "anvil/log.h"
#include "anvil/members.h"

#define PERIOD (1 * ANVIL_SECOND)
/* Periods that used less of the link are not logged: queues are short. */
#define LOGGED_SHARE 0.4
#define BITS_PER_BYTE 8.0
/* Above the first, fewer callers are wanted; below the second, more. Queues grow without bound as
 * the share approaches 1, and callers come in bursts. */
#define HIGH_SHARE 0.6
#define LOW_SHARE 0.4
#define GROWTH 1.25
#define MIN_CALLER_SHARE 100
/* Callers follow a change once they look entries up again, after two seconds. */
#define ADJUST_INTERVAL (3 * ANVIL_SECOND)

const char *
anvil_link_user_name (anvil_link_user_t user)
{
  static const char *const names[] = {
    [ANVIL_LINK_CALLERS] = "callers",
    [ANVIL_LINK_UPSTREAMS] = "upstreams",
    [ANVIL_LINK_STORE] = "store",
    [ANVIL_LINK_PEERS] = "peers",
  };

  return names[user];
}

/* Share of the link that takes @bytes in @time. */
static gdouble
share_of_link (const anvil_link_usage_t *usage, guint64 bytes, anvil_time_t time)
{
  if (usage->rate == 0)
    return 0;
  return (gdouble) bytes * BITS_PER_BYTE * (gdouble) ANVIL_SECOND
         / ((gdouble) usage->rate * (gdouble) time);
}

static void
adjust_caller_share (anvil_link_usage_t *usage, anvil_time_t now)
{
  gdouble factor = usage->average > HIGH_SHARE  ? HIGH_SHARE / usage->average
                   : usage->average < LOW_SHARE ? GROWTH
                                                : 1;

  if (factor == 1 || now - usage->adjusted_at < ADJUST_INTERVAL)
    return;
  usage->adjusted_at = now;
  usage->caller_share
      = (guint) CLAMP (usage->caller_share * factor, MIN_CALLER_SHARE, ANVIL_FULL_CALLER_SHARE);
}

gboolean
anvil_link_usage_update (anvil_link_usage_t *usage,
                         anvil_time_t now,
                         const anvil_byte_counts_t totals[ANVIL_N_LINK_USERS])
{
  anvil_byte_counts_t sum = { 0 };
  gboolean first = usage->measured_at == 0;

  if (!first && now - usage->measured_at < PERIOD)
    return FALSE;
  for (guint user = 0; user < ANVIL_N_LINK_USERS; user++)
    {
      usage->period[user] = (anvil_byte_counts_t){
        .in = totals[user].in - usage->totals[user].in,
        .out = totals[user].out - usage->totals[user].out,
      };
      sum.in += usage->period[user].in;
      sum.out += usage->period[user].out;
    }
  if (!first)
    {
      usage->share = share_of_link (usage, MAX (sum.in, sum.out), now - usage->measured_at);
      usage->average = (usage->average + usage->share) / 2;
      adjust_caller_share (usage, now);
    }
  memcpy (usage->totals, totals, sizeof usage->totals);
  usage->measured_at = now;
  return !first;
}

void
anvil_link_usage_log (const anvil_link_usage_t *usage)
{
  GString *text;

  if (usage->share < LOGGED_SHARE)
    return;
  text = g_string_new (NULL);
  for (guint user = 0; user < ANVIL_N_LINK_USERS; user++)
    g_string_append_printf (text, " %s_in=%" G_GUINT64_FORMAT " %s_out=%" G_GUINT64_FORMAT,
                            anvil_link_user_name (user), usage->period[user].in,
                            anvil_link_user_name (user), usage->period[user].out);
  anvil_log (ANVIL_LOG_INFO, "link", "link is busy share=%.2f caller_share=%u%s", usage->share,
             usage->caller_share, text->str);
  g_string_free (text, TRUE);
}
