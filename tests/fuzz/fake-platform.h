#pragma once

#include "anvil/clock.h"
#include "anvil/config.h"
#include "anvil/message.h"
#include "anvil/platform.h"
#include "anvil/steer.h"

#define FAKE_MAX_SEATS 64

/** fake_file_t - one accepted file and when it was accepted */
typedef struct
{
  anvil_config_t *config;
  anvil_time_t accepted_at;
} fake_file_t;

/**
 * fake_platform_t - the table's seat rows, the accepted files and the VM list
 * @down: nothing answers
 * @slow: answers take FAKE_PLATFORM_SLOW
 * @lose_write_responses: writes take effect, but their answers are lost
 * @list_lag: how old the VM list is that it hands out
 * @vms: the VMs there are; each change is kept as a version in @lists
 */
typedef struct
{
  gboolean down;
  gboolean slow;
  gboolean lose_write_responses;
  anvil_time_t list_lag;
  anvil_seat_row_t rows[FAKE_MAX_SEATS];
  GArray *files;
  GArray *vms;
  GPtrArray *lists;
} fake_platform_t;

#define FAKE_PLATFORM_DELAY (2 * ANVIL_MS)
#define FAKE_PLATFORM_SLOW (3 * ANVIL_SECOND)
/* After this an entry gives up a call to the platform. */
#define FAKE_PLATFORM_TIMEOUT (2 * ANVIL_SECOND)

fake_platform_t *fake_platform_new (void);
void fake_platform_drop (fake_platform_t *platform);

/** fake_platform_write_row - the conditional write; UNKNOWN if it took effect and the answer is
 * lost
 */
anvil_row_result_t fake_platform_write_row (fake_platform_t *platform,
                                            const anvil_seat_row_t *next);

/**
 * fake_platform_submit - accepts a file if @expected is still the newest generation
 * @config: kept
 *
 * Return: its generation, or 0 on a conflict or while the platform is down.
 */
guint64 fake_platform_submit (fake_platform_t *platform,
                              anvil_time_t now,
                              guint64 expected,
                              anvil_config_t *config);

/** fake_platform_newest_generation - newest accepted generation, 0 if there is none */
guint64 fake_platform_newest_generation (const fake_platform_t *platform);

/** fake_platform_file - an accepted file, borrowed */
const fake_file_t *fake_platform_file (const fake_platform_t *platform, guint64 generation);

/** fake_platform_set_vm - adds or changes a VM by name; its strings must stay */
void fake_platform_set_vm (fake_platform_t *platform, anvil_time_t now, const anvil_vm_t *vm);

/** fake_platform_remove_vm - a VM is gone */
void fake_platform_remove_vm (fake_platform_t *platform, anvil_time_t now, anvil_str_t name);

/** fake_platform_vm_list - the list as it was @list_lag ago, borrowed until the platform is dropped
 */
const anvil_vm_list_t *fake_platform_vm_list (const fake_platform_t *platform, anvil_time_t now);
