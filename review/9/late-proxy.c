/*
 * A proxy between one entry and the store, which performs removals of rows late: such a call gets
 * no response, and reaches the store some seconds later. All other calls pass at once.
 *
 *   late-proxy PORT STORE-PORT DELAY-MS      with 0, these calls pass at once too
 */

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_LINKS 64
#define MAX_CALL_BYTES 65536
#define REMOVAL "\"remove\":[{"

/* One connection of the entry, the one to the store that it stands for, and the call being read. */
typedef struct
{
  int entry;
  int store;
  char call[MAX_CALL_BYTES + 1];
  size_t length;
} link_t;

static link_t links[MAX_LINKS];
static char late_call[MAX_CALL_BYTES];
static size_t late_length;
static long long late_at;

static long long
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (long long) now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static struct sockaddr_in
loopback (int port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons ((in_port_t) port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
}

static int
connect_to (int port)
{
  const struct sockaddr_in address = loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (fd >= 0 && connect (fd, (const struct sockaddr *) &address, sizeof address) == 0)
    return fd;
  if (fd >= 0)
    close (fd);
  return -1;
}

static void
send_all (int fd, const char *bytes, size_t length)
{
  while (length > 0)
    {
      ssize_t sent = send (fd, bytes, length, MSG_NOSIGNAL);

      if (sent <= 0)
        return;
      bytes += sent;
      length -= (size_t) sent;
    }
}

static void
link_close (link_t *link)
{
  close (link->entry);
  close (link->store);
  link->entry = link->store = -1;
}

static void
link_open (int listener, int store_port)
{
  int entry = accept (listener, NULL, NULL);
  int store = entry >= 0 ? connect_to (store_port) : -1;

  for (int i = 0; i < MAX_LINKS && store >= 0; i++)
    {
      if (links[i].entry >= 0)
        continue;
      links[i].entry = entry;
      links[i].store = store;
      links[i].length = 0;
      return;
    }
  if (entry >= 0)
    close (entry);
  if (store >= 0)
    close (store);
}

/* Length of the call at the start of the buffer, 0 while it is incomplete. */
static size_t
call_length (const link_t *link)
{
  const char *end = strstr (link->call, "\r\n\r\n");
  const char *field = strstr (link->call, "Content-Length: ");
  size_t length = end != NULL ? (size_t) (end + 4 - link->call) : 0;

  if (end != NULL && field != NULL && field < end)
    length += strtoul (field + strlen ("Content-Length: "), NULL, 10);
  return length <= link->length ? length : 0;
}

/* Passes a call on, or keeps it for later. */
static void
handle_call (link_t *link, size_t length, long long delay)
{
  const char after = link->call[length];

  link->call[length] = '\0';
  if (delay > 0 && strstr (link->call, REMOVAL) != NULL)
    {
      memcpy (late_call, link->call, length);
      late_length = length;
      late_at = now_ms () + delay;
      printf ("removal taken, reaches the store %lld ms later\n", delay);
      fflush (stdout);
    }
  else
    send_all (link->store, link->call, length);
  link->call[length] = after;
  link->length -= length;
  memmove (link->call, link->call + length, link->length + 1);
}

static void
read_entry (link_t *link, long long delay)
{
  ssize_t got = recv (link->entry, link->call + link->length, MAX_CALL_BYTES - link->length, 0);
  size_t length;

  if (got <= 0)
    {
      link_close (link);
      return;
    }
  link->length += (size_t) got;
  link->call[link->length] = '\0';
  while ((length = call_length (link)) > 0)
    handle_call (link, length, delay);
}

static void
read_store (link_t *link)
{
  char bytes[16384];
  ssize_t got = recv (link->store, bytes, sizeof bytes, 0);

  if (got > 0)
    send_all (link->entry, bytes, (size_t) got);
  else
    link_close (link);
}

/* Lets the store perform the call that was kept, and waits for its response. */
static void
send_late_call (int store_port)
{
  int fd = connect_to (store_port);
  char byte;

  if (fd >= 0)
    {
      send_all (fd, late_call, late_length);
      (void) !recv (fd, &byte, 1, 0);
      close (fd);
      printf ("the store has performed the late removal\n");
      fflush (stdout);
    }
  late_length = 0;
}

static void
serve (int listener, int store_port, long long delay)
{
  struct pollfd fds[1 + 2 * MAX_LINKS];

  for (;;)
    {
      fds[0] = (struct pollfd){ .fd = listener, .events = POLLIN };
      for (int i = 0; i < MAX_LINKS; i++)
        {
          fds[1 + 2 * i] = (struct pollfd){ .fd = links[i].entry, .events = POLLIN };
          fds[2 + 2 * i] = (struct pollfd){ .fd = links[i].store, .events = POLLIN };
        }
      if (poll (fds, 1 + 2 * MAX_LINKS, 50) < 0)
        return;
      if (late_length > 0 && now_ms () >= late_at)
        send_late_call (store_port);
      for (int i = 0; i < MAX_LINKS; i++)
        {
          if (links[i].entry >= 0 && fds[1 + 2 * i].revents != 0)
            read_entry (&links[i], delay);
          if (links[i].entry >= 0 && fds[2 + 2 * i].revents != 0)
            read_store (&links[i]);
        }
      if (fds[0].revents != 0)
        link_open (listener, store_port);
    }
}

int
main (int argc, char **argv)
{
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in address;

  if (argc != 4 || listener < 0)
    return EXIT_FAILURE;
  address = loopback (atoi (argv[1]));
  if (bind (listener, (const struct sockaddr *) &address, sizeof address) != 0
      || listen (listener, MAX_LINKS) != 0)
    return EXIT_FAILURE;
  for (int i = 0; i < MAX_LINKS; i++)
    links[i].entry = links[i].store = -1;
  signal (SIGPIPE, SIG_IGN);
  serve (listener, atoi (argv[2]), atoll (argv[3]));
  return EXIT_FAILURE;
}
