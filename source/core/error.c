#include "anvil/error.h"

G_DEFINE_QUARK (anvil - error - quark, anvil_error)
