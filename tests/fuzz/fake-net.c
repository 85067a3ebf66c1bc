#include "fake-net.h"

#include "fake-event.h"

/* Propagation delay within a zone, and between two zones of a region. */
#define ZONE_DELAY (300)
#define REGION_DELAY (1 * ANVIL_MS)
#define ENTRY_ADDRESS 0x7f000100u
#define PEER_PORT 7000
#define CALLER_PORT 8000

void
fake_net_record (fake_net_t *net, fake_record_t record)
{
  record.at = fake_net_now (net);
  if (net->options.record != NULL)
    net->options.record (net->options.record_context, &record);
}

anvil_time_t
fake_net_now (const fake_net_t *net)
{
  return fake_clock_now (net->clock);
}

void
fake_net_advance (fake_net_t *net, anvil_time_t duration)
{
  fake_clock_advance (net->clock, fake_net_now (net) + duration);
}

anvil_time_t
fake_net_local_time (const fake_entry_t *entry, anvil_time_t at)
{
  return entry->clock_offset + (anvil_time_t) ((gdouble) at * entry->clock_rate);
}

anvil_time_t
fake_net_one_way_delay (const fake_net_t *net, guint zone_a, guint zone_b)
{
  const anvil_config_t *config = net->options.config;
  guint link = anvil_config_lookup_link (config, config->zones[zone_a].region,
                                         config->zones[zone_b].region);

  if (link != ANVIL_NO_INDEX)
    return config->links[link].delay;
  return zone_a == zone_b ? ZONE_DELAY : REGION_DELAY;
}

static void
publish_entry (fake_net_t *net, const fake_entry_t *entry)
{
  anvil_vm_t vm = { .name = entry->name,
                    .kind = ANVIL_VM_ENTRY,
                    .leaving = entry->leaving,
                    .zone = net->options.config->zones[entry->zone].name,
                    .address = anvil_node_address (entry->node),
                    .peer_port = PEER_PORT,
                    .caller_port = CALLER_PORT };

  fake_platform_set_vm (net->platform, fake_net_now (net), &vm);
}

static void
publish_upstream (fake_net_t *net, const fake_upstream_t *upstream)
{
  const anvil_upstream_t *configured = &net->options.config->upstreams[upstream->index];
  anvil_vm_t vm = { .name = configured->name,
                    .kind = ANVIL_VM_UPSTREAM,
                    .leaving = upstream->leaving,
                    .zone = net->options.config->zones[upstream->zone].name,
                    .address = configured->address };

  fake_platform_set_vm (net->platform, fake_net_now (net), &vm);
}

static void
create_vm (fake_net_t *net, guint index)
{
  fake_entry_t *entry = &net->entries[index];
  char name[32];

  g_snprintf (name, sizeof name, "entry-%u", ++net->last_vm);
  entry->name = anvil_str (g_intern_string (name));
  entry->node = anvil_node (ENTRY_ADDRESS + net->last_vm, PEER_PORT);
  entry->leaving = FALSE;
  for (guint i = 0; i < FAKE_MAX_ENTRIES; i++)
    net->entries[i].discovered[index] = FALSE;
  publish_entry (net, entry);
}

static void
randomize_clock (fake_net_t *net, fake_entry_t *entry)
{
  gdouble max_drift = net->options.clock_ppm / 1e6;

  entry->clock_rate = 1 + g_rand_double_range (net->random, -1, 1) * max_drift;
  entry->clock_offset = (anvil_time_t) g_rand_int_range (net->random, 1, 1000) * ANVIL_SECOND;
}

static void
start_entry (fake_net_t *net, guint index)
{
  fake_entry_t *entry = &net->entries[index];
  anvil_steer_options_t options = { .node = entry->node,
                                    .zone = net->options.config->zones[entry->zone].name,
                                    .caller_port = CALLER_PORT,
                                    .seed = g_rand_int (net->random),
                                    .sharing = net->options.sharing,
                                    .faults = net->options.faults };

  randomize_clock (net, entry);
  entry->process_epoch++;
  entry->alive = TRUE;
  entry->frozen = FALSE;
  entry->leaving = FALSE;
  entry->files_cut = FALSE;
  entry->generation = 0;
  for (guint i = 0; i < FAKE_MAX_ENTRIES; i++)
    entry->discovered[i] = FALSE;
  entry->incarnation = (guint64) fake_net_now (net) + entry->process_epoch;
  options.incarnation = entry->incarnation;
  if (net->options.policy == NULL)
    entry->steer = anvil_steer_new (&options, &fake_entry_callbacks, entry->context);
  entry->ticks = g_rand_int_range (net->random, 0, 5);
  fake_net_record (net, (fake_record_t){ .kind = FAKE_STARTED, .entry = index });
  fake_event_schedule (fake_event_new (net, index, FAKE_EVENT_TICK),
                       fake_net_now (net) + g_rand_int_range (net->random, 0, ANVIL_TICK_INTERVAL));
}

static void
add_entry (fake_net_t *net, guint index)
{
  const anvil_config_t *config = net->options.config;
  fake_entry_t *entry = &net->entries[index];
  fake_entry_context_t *context = g_new0 (fake_entry_context_t, 1);

  context->net = net;
  context->entry = index;
  entry->context = context;
  entry->zone = index < config->n_seats ? config->seats[index].zone : index % config->n_zones;
  entry->region = config->zones[entry->zone].region;
  g_queue_init (&entry->held_events);
  create_vm (net, index);
  start_entry (net, index);
}

static void
add_upstream (fake_net_t *net, guint index)
{
  const anvil_upstream_t *configured = &net->options.config->upstreams[index];
  fake_upstream_t *upstream = &net->upstreams[index];

  upstream->index = index;
  upstream->key = configured->key;
  upstream->zone = configured->zone;
  upstream->region = anvil_config_upstream_region (net->options.config, index);
  upstream->service = configured->service;
  upstream->slots = configured->slots;
  g_queue_init (&upstream->waiting);
  publish_upstream (net, upstream);
}

fake_net_t *
fake_net_new (const fake_net_options_t *options)
{
  fake_net_t *net = g_new0 (fake_net_t, 1);

  net->options = *options;
  net->clock = fake_clock_new ();
  net->random = g_rand_new_with_seed (options->seed);
  net->platform = fake_platform_new ();
  net->attempts = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  net->link_free_at = g_new0 (anvil_time_t, options->config->n_links);
  fake_platform_submit (net->platform, 0, 0,
                        options->initial_config != NULL ? options->initial_config
                                                        : options->config);
  net->n_upstreams = options->config->n_upstreams;
  net->upstreams = g_new0 (fake_upstream_t, net->n_upstreams);
  for (guint i = 0; i < net->n_upstreams; i++)
    add_upstream (net, i);
  net->n_entries = MIN (options->n_entries, FAKE_MAX_ENTRIES);
  for (guint i = 0; i < net->n_entries; i++)
    add_entry (net, i);
  return net;
}

static void
drop_held_events (fake_entry_t *entry)
{
  while (!g_queue_is_empty (&entry->held_events))
    g_free (g_queue_pop_head (&entry->held_events));
}

void
fake_net_drop (fake_net_t *net)
{
  if (net == NULL)
    return;
  for (guint i = 0; i < net->n_entries; i++)
    {
      anvil_steer_drop (net->entries[i].steer);
      drop_held_events (&net->entries[i]);
      g_free (net->entries[i].context);
    }
  for (guint i = 0; i < net->n_upstreams; i++)
    g_queue_clear (&net->upstreams[i].waiting);
  fake_clock_drop (net->clock);
  g_rand_free (net->random);
  fake_platform_drop (net->platform);
  g_hash_table_destroy (net->attempts);
  g_free (net->upstreams);
  g_free (net->link_free_at);
  g_free (net);
}

guint64
fake_net_submit (fake_net_t *net, guint entry, anvil_request_t request)
{
  fake_event_t *event;

  if (!net->entries[entry].alive)
    return 0;
  request.id = ++net->last_request;
  event = fake_event_new (net, entry, FAKE_EVENT_REQUEST);
  event->request = request;
  fake_event_deliver (event);
  g_free (event);
  return request.id;
}

void
fake_net_kill (fake_net_t *net, guint index)
{
  fake_entry_t *entry = &net->entries[index];

  if (!entry->alive)
    return;
  anvil_steer_drop (entry->steer);
  entry->steer = NULL;
  entry->alive = FALSE;
  entry->process_epoch++;
  drop_held_events (entry);
  fake_net_record (net, (fake_record_t){ .kind = FAKE_STOPPED, .entry = index });
}

void
fake_net_restart (fake_net_t *net, guint index)
{
  fake_net_kill (net, index);
  start_entry (net, index);
}

void
fake_net_replace (fake_net_t *net, guint index)
{
  fake_net_kill (net, index);
  fake_platform_remove_vm (net->platform, fake_net_now (net), net->entries[index].name);
  create_vm (net, index);
  start_entry (net, index);
}

void
fake_net_freeze (fake_net_t *net, guint entry)
{
  net->entries[entry].frozen = net->entries[entry].alive;
}

void
fake_net_unfreeze (fake_net_t *net, guint index)
{
  fake_entry_t *entry = &net->entries[index];

  entry->frozen = FALSE;
  while (!g_queue_is_empty (&entry->held_events) && !entry->frozen)
    {
      fake_event_t *event = g_queue_pop_head (&entry->held_events);

      fake_event_deliver (event);
      g_free (event);
    }
}

void
fake_net_leave (fake_net_t *net, guint index)
{
  fake_entry_t *entry = &net->entries[index];

  if (!entry->alive || entry->frozen || entry->leaving)
    return;
  entry->leaving = TRUE;
  fake_net_record (net, (fake_record_t){ .kind = FAKE_SHUTDOWN_STARTED, .entry = index });
  if (entry->steer != NULL)
    anvil_steer_leave (entry->steer, fake_net_local_time (entry, fake_net_now (net)));
  publish_entry (net, entry);
}

void
fake_net_set_upstream_leaving (fake_net_t *net, guint upstream, gboolean leaving)
{
  net->upstreams[upstream].leaving = leaving;
  publish_upstream (net, &net->upstreams[upstream]);
}

gboolean
fake_net_connected (const fake_net_t *net, guint a, guint b)
{
  const fake_entry_t *first = &net->entries[a];
  const fake_entry_t *second = &net->entries[b];

  return first->alive && second->alive && !first->frozen && !second->frozen && !first->cut[b]
         && !second->cut[a];
}

gboolean
fake_net_discovered (const fake_net_t *net, guint a, guint b)
{
  return net->entries[a].discovered[b] || net->entries[b].discovered[a];
}

gboolean
fake_net_store_reachable (const fake_net_t *net, guint index)
{
  const fake_entry_t *entry = &net->entries[index];

  return entry->alive && !entry->frozen && !entry->store_cut && !net->platform->down
         && !net->platform->slow;
}

void
fake_net_finish (fake_net_t *net, guint entry, guint64 request, anvil_attempt_result_t result)
{
  fake_net_record (
      net, (fake_record_t){
               .kind = FAKE_FINISHED, .entry = entry, .request = request, .result = result });
}

void
fake_net_refuse (fake_net_t *net, guint entry, guint64 request, anvil_refusal_reason_t reason)
{
  fake_net_record (
      net, (fake_record_t){
               .kind = FAKE_REFUSED, .entry = entry, .request = request, .refusal = reason });
}
