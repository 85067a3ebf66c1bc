#pragma once

#include "anvil/clock.h"
#include "anvil/config.h"
#include "anvil/message.h"
#include "anvil/platform.h"
#include "anvil/steer.h"

#define FAKE_MAX_SEATS 64

/** fake_file_t - an accepted configuration file */
typedef struct
{
  anvil_config_t *config;
  anvil_time_t accepted_at;
} fake_file_t;

/**
 * fake_platform_t - stores the seat rows, the accepted files and the VM list
 * @down: it does not respond
 * @slow: responses take FAKE_PLATFORM_SLOW
 * @lose_write_responses: writes take effect, but their responses are lost
 * @list_lag: age of the VM list that it returns
 * @files: accepted files, by generation - 1
 * @vms: current VMs
 * @list_versions: the list after each change
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
  GPtrArray *list_versions;
} fake_platform_t;

#define FAKE_PLATFORM_DELAY (2 * ANVIL_MS)
#define FAKE_PLATFORM_SLOW (3 * ANVIL_SECOND)
/* After this time an entry stops waiting for a response of the platform. */
#define FAKE_PLATFORM_TIMEOUT (2 * ANVIL_SECOND)

fake_platform_t *fake_platform_new (void);
void fake_platform_drop (fake_platform_t *platform);

/** fake_platform_write_row - writes a row if its epoch follows the stored one; UNKNOWN if responses
 * are lost
 */
anvil_row_result_t fake_platform_write_row (fake_platform_t *platform,
                                            const anvil_seat_row_t *next);

/**
 * fake_platform_submit - accepts a file if @expected is still the newest generation
 * @config: a reference is kept
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

/** fake_platform_set_vm - adds or updates a VM by name; its strings must outlive the platform */
void fake_platform_set_vm (fake_platform_t *platform, anvil_time_t now, const anvil_vm_t *vm);

/** fake_platform_remove_vm - removes a VM by name; an unknown name is ignored */
void fake_platform_remove_vm (fake_platform_t *platform, anvil_time_t now, anvil_str_t name);

/** fake_platform_vm_list - the list as it was @list_lag ago, borrowed until the platform is dropped
 */
const anvil_vm_list_t *fake_platform_vm_list (const fake_platform_t *platform, anvil_time_t now);
