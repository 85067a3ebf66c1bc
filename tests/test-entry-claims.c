/* Requests with an idempotency key, with the platform's stand-in as a separate process. */

#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include "anvil/settings.h"
#include "entry/claims-task.h"
#include "helper-entry.h"
#include "standin.h"

#define BOOKING(key)                                                                               \
  "POST /book HTTP/1.1\r\nHost: booking\r\nIdempotency-Key: " key "\r\nAnvil-Request-Id: r-" key   \
  "\r\nContent-Length: 4\r\n\r\nbook"

static standin_t standin;
static rig_t *rig;
static anvil_platform_t *platform;
static anvil_claims_task_t *claims;

static void
set_up (void)
{
  static const char *const arguments[] = { "--listen", "127.0.0.1:0", NULL };
  anvil_claims_task_options_t options;
  guint32 address;
  guint16 port;

  signal (SIGPIPE, SIG_IGN);
  standin_open (&standin, "anvil-platform", arguments);
  ck_assert (anvil_endpoint_parse (standin.endpoint, &address, &port));
  rig = rig_open (NULL);
  platform = anvil_platform_open (rig->base, address, port, ANVIL_SECOND);
  options = (anvil_claims_task_options_t){ .base = rig->base,
                                           .platform = platform,
                                           .metrics = rig->metrics,
                                           .node = rig->settings.node,
                                           .incarnation = 1 };
  claims = anvil_claims_task_new (&options, anvil_request_task_claim_decided, rig->requests);
  anvil_request_task_set_claims (rig->requests, claims);
}

static void
tear_down (void)
{
  anvil_platform_close (platform);
  anvil_claims_task_drop (claims);
  rig_close (rig);
  kill (standin.pid, SIGCONT);
  ck_assert_int_eq (standin_close (&standin), 0);
}

/* Sends a booking and waits until the upstream has received it. */
static int
start_booking (const char *request, int *caller)
{
  int upstream;

  *caller = rig_connect (rig);
  rig_send (rig, *caller, request);
  upstream = rig_accept (rig, RIG_BOOKING);
  g_free (rig_read_message (rig, upstream));
  return upstream;
}

static void
check_response (int caller, const char *status, const char *header)
{
  char *response = rig_read_message (rig, caller);

  ck_assert_msg (g_str_has_prefix (response, status), "expected %s: \"%s\"", status, response);
  RIG_ASSERT_CONTAINS (response, header);
  g_free (response);
}

static void
check_response_without_dispatch (const char *request, const char *status, const char *header)
{
  int caller = rig_connect (rig);

  rig_send (rig, caller, request);
  check_response (caller, status, header);
  close (caller);
  ck_assert (!rig_connection_pending (rig, RIG_BOOKING));
}

START_TEST (test_repeated_request_is_not_run)
{
  int caller;
  int upstream = start_booking (BOOKING ("k1"), &caller);

  check_response_without_dispatch (BOOKING ("k1"), "HTTP/1.1 409", "Anvil-Outcome: unknown");
  rig_send (rig, upstream, "HTTP/1.1 201 Made\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
  check_response (caller, "HTTP/1.1 201", "Anvil-Outcome: answered");
  check_response_without_dispatch (BOOKING ("k1"), "HTTP/1.1 201", "Anvil-Recorded: 1");
  RIG_WAIT (rig, anvil_claims_task_pending (claims) == 0);
  check_response_without_dispatch (BOOKING ("k1"), "HTTP/1.1 201", "Anvil-Recorded: 1");
  check_response_without_dispatch (BOOKING ("k1"), "HTTP/1.1 201", "Anvil-Request-Id: r-k1");
  close (upstream);
  close (caller);
}
END_TEST

START_TEST (test_outcome_stays_unknown_after_a_lost_response)
{
  int caller;
  int upstream = start_booking (BOOKING ("k2"), &caller);

  close (upstream);
  check_response (caller, "HTTP/1.1 502", "Anvil-Outcome: unknown");
  check_response_without_dispatch (BOOKING ("k2"), "HTTP/1.1 409", "Anvil-Outcome: unknown");
  close (caller);
}
END_TEST

START_TEST (test_disconnected_caller_gets_the_outcome_on_repeat)
{
  int caller;
  int upstream = start_booking (BOOKING ("k3"), &caller);

  close (caller);
  rig_send (rig, upstream, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
  RIG_WAIT (rig, anvil_request_task_count (rig->requests) == 0);
  check_response_without_dispatch (BOOKING ("k3"), "HTTP/1.1 200", "Anvil-Recorded: 1");
  close (upstream);
}
END_TEST

START_TEST (test_refused_request_releases_its_key)
{
  int caller;
  int upstream = start_booking (BOOKING ("k4"), &caller);

  rig_send (rig, upstream,
            "HTTP/1.1 503 No\r\nAnvil-Upstream: shed\r\nConnection: close\r\n"
            "Content-Length: 0\r\n\r\n");
  close (upstream);
  RIG_WAIT (rig, rig_readable (caller) || rig_connection_pending (rig, RIG_BOOKING));
  while (!rig_readable (caller))
    {
      upstream = rig_accept (rig, RIG_BOOKING);
      g_free (rig_read_message (rig, upstream));
      rig_send (rig, upstream,
                "HTTP/1.1 503 No\r\nAnvil-Upstream: shed\r\nConnection: close\r\n"
                "Content-Length: 0\r\n\r\n");
      close (upstream);
      RIG_WAIT (rig, rig_readable (caller) || rig_connection_pending (rig, RIG_BOOKING));
    }
  check_response (caller, "HTTP/1.1 503", "Anvil-Outcome: refused");
  close (caller);
  RIG_WAIT (rig, anvil_claims_task_pending (claims) == 0);
  upstream = start_booking (BOOKING ("k4"), &caller);
  close (upstream);
  close (caller);
}
END_TEST

START_TEST (test_request_is_refused_while_the_platform_hangs)
{
  kill (standin.pid, SIGSTOP);
  check_response_without_dispatch (BOOKING ("k5"), "HTTP/1.1 503", "Anvil-Outcome: refused");
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry-claims");
  TCase *tcase = tcase_create ("entry-claims");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, test_repeated_request_is_not_run);
  tcase_add_test (tcase, test_outcome_stays_unknown_after_a_lost_response);
  tcase_add_test (tcase, test_disconnected_caller_gets_the_outcome_on_repeat);
  tcase_add_test (tcase, test_refused_request_releases_its_key);
  tcase_add_test (tcase, test_request_is_refused_while_the_platform_hangs);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
