#pragma once

#include "anvil/dispatcher.h"
#include "anvil/members.h"
#include "relay/recent-places.h"

/**
 * anvil_relay_kind_t - messages between entries that serve registered upstreams
 * @ANVIL_RELAY_PING: who the sender is; asks for a pong
 * @ANVIL_RELAY_PONG: who the sender is; echoes the ping's time
 * @ANVIL_RELAY_ASK: a task needs a slot
 * @ANVIL_RELAY_ADOPT: a task runs on a slot that a former holder granted
 * @ANVIL_RELAY_GRANT: a slot for a task
 * @ANVIL_RELAY_REFUSE: no slot for a task
 * @ANVIL_RELAY_FINISHED: a granted task has ended
 * @ANVIL_RELAY_WITHDRAW: a task that waits needs no slot any more
 * @ANVIL_RELAY_PLACES: where objects of a service were handled lately
 * @ANVIL_RELAY_ASK_NEWS: asks a reader for news of upstreams
 * @ANVIL_RELAY_NEWS: news of upstreams
 */
typedef enum
{
  ANVIL_RELAY_PING = 1,
  ANVIL_RELAY_PONG,
  ANVIL_RELAY_ASK,
  ANVIL_RELAY_ADOPT,
  ANVIL_RELAY_GRANT,
  ANVIL_RELAY_REFUSE,
  ANVIL_RELAY_FINISHED,
  ANVIL_RELAY_WITHDRAW,
  ANVIL_RELAY_PLACES,
  ANVIL_RELAY_ASK_NEWS,
  ANVIL_RELAY_NEWS,
} anvil_relay_kind_t;

/**
 * anvil_relay_message_t - one message; texts are views into the bytes it was read from
 * @number: the asker's number of the task; of a ping, its time on the sender's clock; of
 *   news, the version up to which the sender has read the store, or the asker knows it
 * @info: ping and pong
 * @task: ask and adopt; @task.target and @task.deadline are times left,
 *   microseconds, since clocks differ between processes
 * @upstream: adopt: key of the upstream that it runs on
 * @grant: grant
 * @refused: refuse
 * @report: finished
 * @service: places: the service
 * @places: places
 * @n_places: how many
 * @after: news: version that they begin after
 * @age: news: how long ago the sender read the store, microseconds
 * @lapses_for: news: how much longer a missing row may come back, microseconds
 * @rows: news: packed rows, see relay/news-log.h
 */
typedef struct
{
  anvil_relay_kind_t kind;
  guint64 number;
  anvil_member_info_t info;
  anvil_task_t task;
  guint64 upstream;
  anvil_grant_t grant;
  anvil_task_refusal_info_t refused;
  anvil_run_report_t report;
  anvil_str_t service;
  anvil_place_t places[ANVIL_MAX_TOLD_PLACES];
  guint n_places;
  guint64 after;
  anvil_time_t age;
  anvil_time_t lapses_for;
  anvil_str_t rows;
} anvil_relay_message_t;

/** anvil_relay_message_pack - appends a message as msgpack */
void anvil_relay_message_pack (const anvil_relay_message_t *message, GByteArray *out);

/**
 * anvil_relay_message_unpack - reads one whole message
 *
 * Return: FALSE with @error naming the field if it isn't a valid one.
 */
gboolean
anvil_relay_message_unpack (anvil_str_t bytes, anvil_relay_message_t *message, GError **error);
