#include "steer/quota-counter-internal.h"

/* From this part of the entries on, a side of a partition uses the whole quota: the other one then
 * adds a tenth at most. */
#define WHOLE_SHARE 0.9
/* A tick that is this late means that the process was suspended; other entries need about as long
 * to choose another counter. */
#define SUSPENSION_TIME (300 * ANVIL_MS)
#define EVICTION_INTERVAL (1 * ANVIL_SECOND)

static void
clear_shard (gpointer data)
{
  g_hash_table_unref (((shard_t *) data)->buckets);
}

anvil_quota_counter_t *
anvil_quota_counter_new (const anvil_dispatcher_limits_t *limits)
{
  anvil_quota_counter_t *counter = g_new0 (anvil_quota_counter_t, 1);

  counter->limits = *limits;
  counter->share = 1;
  counter->reachable = 1;
  counter->tenants = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  counter->shards = g_array_new (FALSE, TRUE, sizeof (shard_t));
  g_array_set_clear_func (counter->shards, clear_shard);
  return counter;
}

void
anvil_quota_counter_drop (anvil_quota_counter_t *counter)
{
  if (counter == NULL)
    return;
  g_hash_table_unref (counter->tenants);
  g_array_unref (counter->shards);
  g_free (counter);
}

static shard_t *
shard_at (const anvil_quota_counter_t *counter, guint index)
{
  return &g_array_index (counter->shards, shard_t, index);
}

static void
change_limit (anvil_quota_counter_t *counter,
              anvil_time_t now,
              const char *name,
              const anvil_quota_limit_t *from,
              const anvil_quota_limit_t *to)
{
  guint shard = anvil_quota_counter_shard (counter, anvil_str (name));
  bucket_t *bucket = g_hash_table_lookup (shard_at (counter, shard)->buckets, name);

  if (bucket == NULL)
    return;
  quota_bucket_refill (counter, now, from, bucket);
  bucket->tokens = MIN (bucket->tokens, quota_depth (counter, to));
  if (quota_bound (counter, to) < quota_bound (counter, from))
    quota_bucket_scale_log (bucket, quota_bound (counter, to) / quota_bound (counter, from));
}

static GHashTable *
read_tenants (const anvil_routes_t *routes)
{
  GHashTable *tenants = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);

  for (guint i = 0; i < anvil_routes_count_tenants (routes); i++)
    {
      const anvil_tenant_t *tenant = anvil_routes_tenant_at (routes, i);
      tenant_t *copy;

      if (tenant->rate <= 0)
        continue;
      copy = g_new0 (tenant_t, 1);
      copy->limit = (anvil_quota_limit_t){ .rate = tenant->rate, .burst = tenant->burst };
      g_hash_table_insert (tenants, g_strdup (tenant->name), copy);
    }
  return tenants;
}

/* Shards are a function of the configuration alone, so that all entries divide tenants alike. */
static void
set_shards (anvil_quota_counter_t *counter, guint n_tenants)
{
  guint n = (n_tenants + ANVIL_QUOTA_SHARD_TENANTS - 1) / ANVIL_QUOTA_SHARD_TENANTS;

  if (n == counter->shards->len)
    return;
  g_array_set_size (counter->shards, 0);
  g_array_set_size (counter->shards, n);
  for (guint i = 0; i < n; i++)
    shard_at (counter, i)->buckets
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, quota_bucket_free);
}

static void
remove_buckets_without_limit (anvil_quota_counter_t *counter)
{
  for (guint i = 0; i < counter->shards->len; i++)
    {
      GHashTableIter iter;
      gpointer name;

      g_hash_table_iter_init (&iter, shard_at (counter, i)->buckets);
      while (g_hash_table_iter_next (&iter, &name, NULL))
        {
          if (!g_hash_table_contains (counter->tenants, name))
            g_hash_table_iter_remove (&iter);
        }
    }
}

void
anvil_quota_counter_set_tenants (anvil_quota_counter_t *counter,
                                 anvil_time_t now,
                                 const anvil_routes_t *routes)
{
  GHashTable *previous = counter->tenants;
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  counter->tenants = read_tenants (routes);
  set_shards (counter, g_hash_table_size (counter->tenants));
  g_hash_table_iter_init (&iter, counter->tenants);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      tenant_t *tenant = value;
      const tenant_t *before = g_hash_table_lookup (previous, name);

      if (before == NULL)
        {
          tenant->appeared_at = counter->has_tenants ? now : 0;
          continue;
        }
      tenant->appeared_at = before->appeared_at;
      change_limit (counter, now, name, &before->limit, &tenant->limit);
    }
  remove_buckets_without_limit (counter);
  counter->has_tenants = TRUE;
  g_hash_table_unref (previous);
}

static const tenant_t *
find_tenant (const anvil_quota_counter_t *counter, anvil_str_t name)
{
  char *text = anvil_str_dup (name);
  const tenant_t *tenant = g_hash_table_lookup (counter->tenants, text);

  g_free (text);
  return tenant;
}

const anvil_quota_limit_t *
anvil_quota_counter_limit (const anvil_quota_counter_t *counter, anvil_str_t name)
{
  const tenant_t *tenant;

  if (name.length == 0 || counter->limits.quota_window <= 0)
    return NULL;
  tenant = find_tenant (counter, name);
  return tenant != NULL ? &tenant->limit : NULL;
}

guint
anvil_quota_counter_count_shards (const anvil_quota_counter_t *counter)
{
  return counter->limits.quota_window > 0 ? counter->shards->len : 0;
}

guint
anvil_quota_counter_shard (const anvil_quota_counter_t *counter, anvil_str_t tenant)
{
  return counter->shards->len < 2 ? 0 : (guint) (anvil_str_hash (tenant) % counter->shards->len);
}

void
anvil_quota_counter_hold (anvil_quota_counter_t *counter,
                          anvil_time_t now,
                          guint index,
                          gboolean holds)
{
  shard_t *shard = shard_at (counter, index);

  if (holds == (shard->since != 0))
    return;
  shard->since = holds ? now : 0;
  g_hash_table_remove_all (shard->buckets);
}

typedef void (*visit_bucket_t) (anvil_quota_counter_t *counter,
                                anvil_time_t now,
                                const anvil_quota_limit_t *limit,
                                bucket_t *bucket);

static void
foreach_bucket (anvil_quota_counter_t *counter, anvil_time_t now, visit_bucket_t visit)
{
  for (guint i = 0; i < counter->shards->len; i++)
    {
      GHashTableIter iter;
      gpointer name;
      gpointer value;

      g_hash_table_iter_init (&iter, shard_at (counter, i)->buckets);
      while (g_hash_table_iter_next (&iter, &name, &value))
        visit (counter, now, &((tenant_t *) g_hash_table_lookup (counter->tenants, name))->limit,
               value);
    }
}

static void
cut_to_depth (anvil_quota_counter_t *counter,
              anvil_time_t now,
              const anvil_quota_limit_t *limit,
              bucket_t *bucket)
{
  bucket->tokens = MIN (bucket->tokens, quota_depth (counter, limit));
}

static void
scale_to_share (anvil_quota_counter_t *counter,
                anvil_time_t now,
                const anvil_quota_limit_t *limit,
                bucket_t *bucket)
{
  quota_bucket_scale_log (bucket, counter->scale);
}

void
anvil_quota_counter_set_limits (anvil_quota_counter_t *counter,
                                anvil_time_t now,
                                const anvil_dispatcher_limits_t *limits)
{
  gboolean window_changed = limits->quota_window != counter->limits.quota_window;

  counter->limits = *limits;
  /* The log's slots have another length. */
  for (guint i = 0; window_changed && i < counter->shards->len; i++)
    {
      g_hash_table_remove_all (shard_at (counter, i)->buckets);
      if (shard_at (counter, i)->since != 0)
        shard_at (counter, i)->since = now;
    }
  foreach_bucket (counter, now, cut_to_depth);
}

void
anvil_quota_counter_set_share (anvil_quota_counter_t *counter, anvil_time_t now, gdouble share)
{
  gdouble previous = counter->share;
  gdouble used = share >= WHOLE_SHARE ? 1 : share;

  counter->reachable = share;
  if (ABS (used - previous) < 1e-6)
    return;
  foreach_bucket (counter, now, quota_bucket_refill);
  if (used < previous)
    {
      /* What was lent before counts on both sides, each by its part. */
      counter->scale = used / previous;
      foreach_bucket (counter, now, scale_to_share);
    }
  counter->share = used;
  foreach_bucket (counter, now, cut_to_depth);
}

static bucket_t *
get_bucket (anvil_quota_counter_t *counter,
            anvil_time_t now,
            shard_t *shard,
            const tenant_t *tenant,
            anvil_str_t name)
{
  char *text = anvil_str_dup (name);
  bucket_t *bucket = g_hash_table_lookup (shard->buckets, text);

  if (bucket != NULL)
    {
      g_free (text);
      return bucket;
    }
  bucket = g_new0 (bucket_t, 1);
  bucket->tokens = START_SHARE * quota_depth (counter, &tenant->limit);
  bucket->refilled_at = MAX (shard->since, tenant->appeared_at);
  bucket->log_slot = now / quota_slot_length (counter);
  g_hash_table_insert (shard->buckets, text, bucket);
  return bucket;
}

gboolean
anvil_quota_counter_lend (anvil_quota_counter_t *counter,
                          anvil_time_t now,
                          anvil_node_t holder,
                          const anvil_quota_want_t *want,
                          anvil_quota_lent_t *lent)
{
  const tenant_t *tenant = find_tenant (counter, want->tenant);
  shard_t *shard;
  bucket_t *bucket;
  gdouble room;

  *lent = (anvil_quota_lent_t){ .tenant = want->tenant,
                                .wanted = want->waiting,
                                .use_share = ANVIL_QUOTA_FULL_SHARE };
  if (tenant == NULL || counter->limits.quota_window <= 0)
    {
      /* A limit was removed, or isn't known here yet. */
      lent->lent = want->waiting;
      return TRUE;
    }
  shard = shard_at (counter, anvil_quota_counter_shard (counter, want->tenant));
  if (shard->since == 0 || now - counter->ticked_at > SUSPENSION_TIME)
    return FALSE;
  bucket = get_bucket (counter, now, shard, tenant, want->tenant);
  quota_bucket_refill (counter, now, &tenant->limit, bucket);
  quota_bucket_advance_log (counter, now, bucket);
  room = quota_cap (counter, &tenant->limit)
         - quota_bucket_lent_in (counter, bucket, counter->limits.quota_window + ANVIL_QUOTA_TERM)
         - quota_bucket_update_reports (counter, now, bucket, holder, want->used_elsewhere);
  bucket->used_at = now;
  quota_bucket_lend (counter, now, &tenant->limit, bucket, want, room, lent);
  lent->use_share = quota_bucket_use_share (counter, &tenant->limit, bucket);
  return TRUE;
}

/* A bucket that is full and has nothing in its log is the same as a new one. */
static void
evict_idle (anvil_quota_counter_t *counter, anvil_time_t now)
{
  for (guint i = 0; i < counter->shards->len; i++)
    {
      shard_t *shard = shard_at (counter, i);
      GHashTableIter iter;
      gpointer name;
      gpointer value;

      g_hash_table_iter_init (&iter, shard->buckets);
      while (g_hash_table_iter_next (&iter, &name, &value))
        {
          const tenant_t *tenant = g_hash_table_lookup (counter->tenants, name);
          bucket_t *bucket = value;
          anvil_time_t idle = now - bucket->used_at;
          anvil_time_t filled_since = MAX (shard->since, tenant->appeared_at);
          gdouble refilled
              = tenant->limit.rate * counter->share * (gdouble) (now - filled_since) / ANVIL_SECOND;

          quota_bucket_refill (counter, now, &tenant->limit, bucket);
          if (idle > 2 * (counter->limits.quota_window + ANVIL_QUOTA_TERM)
              && bucket->tokens >= quota_depth (counter, &tenant->limit)
              && refilled >= quota_depth (counter, &tenant->limit))
            g_hash_table_iter_remove (&iter);
        }
    }
}

void
anvil_quota_counter_tick (anvil_quota_counter_t *counter, anvil_time_t now)
{
  if (counter->ticked_at > 0 && now - counter->ticked_at > SUSPENSION_TIME)
    {
      foreach_bucket (counter, now, quota_bucket_restart);
      for (guint i = 0; i < counter->shards->len; i++)
        {
          if (shard_at (counter, i)->since != 0)
            shard_at (counter, i)->since = now;
        }
    }
  counter->ticked_at = now;
  if (now - counter->evicted_at < EVICTION_INTERVAL)
    return;
  counter->evicted_at = now;
  evict_idle (counter, now);
}

guint
anvil_quota_counter_count_buckets (const anvil_quota_counter_t *counter)
{
  guint n = 0;

  for (guint i = 0; i < counter->shards->len; i++)
    n += g_hash_table_size (shard_at (counter, i)->buckets);
  return n;
}
