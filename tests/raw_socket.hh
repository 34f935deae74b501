// Raw sockets on the loopback, beside an event loop.
#include <arpa/inet.h>
#include <fcntl.h>
#include <functional>
#include <gtest/gtest.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

#include "gw_headers.hh"

namespace raw_socket
{

// Runs the loop until DONE returns true, for about 20 s at most.
inline bool
run_until (uv_loop_t *loop, const std::function<bool ()> &done)
{
  for (int i = 0; i < 20000; i++)
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

inline void
reset (int fd)
{
  struct linger linger = { 1, 0 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
}

inline std::string
free_address ()
{
  std::string address;
  close (listen_raw (&address));
  return address;
}

}
