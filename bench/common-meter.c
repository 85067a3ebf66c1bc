#include "common-meter.h"

#include <malloc.h>
#include <time.h>

#define NS_PER_SECOND G_GINT64_CONSTANT (1000000000)

gint64
common_meter_cpu (void)
{
  struct timespec time;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return time.tv_sec * NS_PER_SECOND + time.tv_nsec;
}

gsize
common_meter_memory (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}
