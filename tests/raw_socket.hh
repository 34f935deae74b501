// Raw sockets on the loopback, beside an event loop.
#include <algorithm>
#include <arpa/inet.h>
#include <fcntl.h>
#include <functional>
#include <gtest/gtest.h>
#include <malloc.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

#include "gw_headers.hh"

namespace raw_socket
{

// Runs the loop until DONE returns true, for about LIMIT_MS at most.
inline bool
run_until (uv_loop_t *loop, const std::function<bool ()> &done,
           int limit_ms = 20000)
{
  for (int i = 0; i < limit_ms; i++)
    {
      if (done ())
        return true;
      uv_run (loop, UV_RUN_NOWAIT);
      usleep (1000);
    }
  return false;
}

inline int
listen_raw (std::string *address)
{
  struct sockaddr_in sa = {};
  socklen_t size = sizeof sa;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  sa.sin_family = AF_INET;
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  bind (fd, reinterpret_cast<struct sockaddr *> (&sa), sizeof sa);
  listen (fd, 10);
  getsockname (fd, reinterpret_cast<struct sockaddr *> (&sa), &size);
  *address = "127.0.0.1:" + std::to_string (ntohs (sa.sin_port));
  return fd;
}

inline int
connect_raw (const std::string &address)
{
  struct sockaddr_in sa;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  settings_parse_address (address.c_str (), &sa);
  EXPECT_EQ (
      connect (fd, reinterpret_cast<struct sockaddr *> (&sa), sizeof sa), 0);
  return fd;
}

inline void
put (int fd, const std::string &text)
{
  EXPECT_EQ (write (fd, text.data (), text.size ()),
             static_cast<ssize_t> (text.size ()));
}

// Sends as much of TEXT as the sockets take.
inline void
fill (int fd, const std::string &text)
{
  fcntl (fd, F_SETFL, O_NONBLOCK);
  EXPECT_GT (send (fd, text.data (), text.size (), MSG_NOSIGNAL), 256 * 1024);
}

inline void
reset (int fd)
{
  struct linger linger = { 1, 0 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
}

// Sends HEAD and then PIECE again and again until the peer closes the
// connection or SENT_MAX bytes were sent.  Returns the number of bytes sent;
// HELD_MAX is set to the most memory that the process used beyond that at the
// start.
inline size_t
send_endlessly (uv_loop_t *loop, int fd, const std::string &head,
                const std::string &piece, size_t *held_max,
                size_t sent_max = 64 << 20)
{
  auto used = [] {
    struct mallinfo2 info = mallinfo2 ();
    return info.uordblks + info.hblkhd;
  };
  std::string pieces;
  size_t at_start = used ();
  size_t sent = 0;
  while (pieces.size () < 64 * 1024)
    pieces += piece;
  std::string next = head + pieces;
  size_t offset = 0;
  *held_max = 0;
  fcntl (fd, F_SETFL, O_NONBLOCK);
  for (int idle = 0; sent < sent_max && idle < 2000;)
    {
      ssize_t n = send (fd, next.data () + offset, next.size () - offset,
                        MSG_NOSIGNAL);
      if (n < 0 && errno != EAGAIN)
        break;
      if (n > 0)
        {
          sent += static_cast<size_t> (n);
          offset += static_cast<size_t> (n);
          idle = 0;
        }
      else
        {
          idle++;
          usleep (100);
        }
      if (offset == next.size ())
        {
          next = pieces;
          offset = 0;
        }
      uv_run (loop, UV_RUN_NOWAIT);
      size_t now = used ();
      *held_max = std::max (*held_max, now > at_start ? now - at_start : 0);
    }
  return sent;
}

inline std::string
free_address ()
{
  std::string address;
  close (listen_raw (&address));
  return address;
}

}
