// The key-value service over HTTP, restored from an older copy between calls.
#include <atomic>
#include <gtest/gtest.h>
#include <mutex>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <vector>

#include "raw_socket.hh"

extern "C"
{
#include "goldcresthatch/kv.h"
#include "http.h"
}

using namespace raw_socket;

namespace
{

// Guards against revisions and leases that are compared, written or renewed
// in another era of the service than the one that gave them out.
class KvHttp : public testing::Test
{
protected:
  std::string address;
  int listener = -1;
  std::thread thread;
  std::atomic<bool> stopping{ false };
  std::mutex mutex;                  // of the next two
  std::vector<std::string> requests; // their first lines
  std::string answer;                // to all requests
  struct kv *kv = nullptr;
  struct err err = {};
  struct kv_value value = {};
  uint64_t number = 0;

  void
  SetUp () override
  {
    http_init ();
    listener = listen_raw (&address);
    thread = std::thread ([this] {
      struct pollfd poller = { listener, POLLIN, 0 };
      while (!stopping)
        {
          if (poll (&poller, 1, 10) <= 0)
            continue;
          int fd = accept (listener, nullptr, nullptr);
          char buffer[4096];
          ssize_t n = read (fd, buffer, sizeof buffer);
          std::string text (buffer, static_cast<size_t> (MAX (n, 0)));
          mutex.lock ();
          requests.push_back (text.substr (0, text.find (" HTTP")));
          text = answer;
          mutex.unlock ();
          put (fd, text);
          close (fd);
        }
    });
    kv = kv_http_open (address.c_str (), 5, &err);
  }
  void
  TearDown () override
  {
    stopping = true;
    thread.join ();
    close (listener);
    kv_http_close (kv);
  }
  // The service is in ERA; further calls are answered like this.
  void
  answers (int era, int status, const std::string &fields,
           const std::string &body = "")
  {
    std::lock_guard<std::mutex> guard (mutex);
    requests.clear ();
    answer = "HTTP/1.1 " + std::to_string (status)
             + " X\r\nStore-Era: " + std::to_string (era) + "\r\n" + fields
             + "Content-Length: " + std::to_string (body.size ())
             + "\r\nConnection: close\r\n\r\n" + body;
  }
  uint64_t
  get ()
  {
    EXPECT_EQ (kv_get (kv, "k", &value, &err), 1);
    kv_value_free (&value);
    return value.revision;
  }
  int
  cas (uint64_t prev, uint64_t lease = 0)
  {
    return kv_cas (kv, "k", prev, "v", 1, lease, &number, &err);
  }
};

TEST_F (KvHttp, RevisionsRise)
{
  answers (1, 200, "X-Revision: 7\r\n", "v");
  uint64_t old = get ();
  EXPECT_EQ (old, 7U);
  answers (2, 200, "X-Revision: 7\r\n", "v");
  uint64_t restored = get ();
  EXPECT_GT (restored, old);
  answers (2, 200, "X-Revision: 8\r\n");
  EXPECT_EQ (cas (restored), 1);
  EXPECT_EQ (requests.at (0), "PUT /kv/k?prev=7");
  EXPECT_EQ (number, restored + 1);
  // A service that names no era has one.
  answer = "HTTP/1.1 200 X\r\nX-Revision: 9\r\nContent-Length: 1\r\n\r\nv";
  EXPECT_EQ (get (), restored + 2);
}

TEST_F (KvHttp, OldRevisionsAreNotWrittenAt)
{
  answers (1, 200, "X-Revision: 7\r\n", "v");
  uint64_t old = get ();
  answers (2, 200, "X-Revision: 8\r\n", "v");
  // The write may have replaced what this process has never read.
  EXPECT_EQ (cas (old), -1);
  EXPECT_NE (err.code, ERR_REFUSED);
  requests.clear ();
  EXPECT_EQ (cas (old), 0);
  EXPECT_TRUE (requests.empty ());
  EXPECT_EQ (cas (0), 1);
}

// Where nothing was under the key, what was written there may be lost.
TEST_F (KvHttp, FirstWriteAfterARestorationIsNotConfirmed)
{
  answers (1, 200, "X-Revision: 7\r\n");
  EXPECT_EQ (kv_era (kv), 0U);
  EXPECT_EQ (cas (0), 1);
  EXPECT_EQ (kv_era (kv), 1U);
  answers (2, 200, "X-Revision: 7\r\n");
  EXPECT_EQ (cas (0), -1);
  EXPECT_NE (err.code, ERR_REFUSED);
  EXPECT_EQ (kv_era (kv), 2U);
  EXPECT_EQ (cas (0), 1);
}

TEST_F (KvHttp, WatchesBeginAnew)
{
  answers (1, 200, "X-Revision: 70\r\n", "v");
  uint64_t old = get ();
  answers (1, 304, "X-Revision: 70\r\n");
  EXPECT_EQ (kv_watch (kv, "k", old, 0, &value, &err), 0);
  answers (2, 304, "X-Revision: 70\r\n");
  EXPECT_EQ (kv_watch (kv, "k", old, 0, &value, &err), -1)
      << "unchanged at which of the two?";
  answers (2, 200, "X-Revision: 60\r\n", "v");
  EXPECT_EQ (kv_watch (kv, "k", old, 0, &value, &err), 1);
  EXPECT_EQ (requests.at (0), "GET /kv/k");
  EXPECT_GT (value.revision, old);
  kv_value_free (&value);
}

TEST_F (KvHttp, OldLeasesAreNotUsed)
{
  answers (1, 200, "X-Lease: 3\r\n");
  uint64_t old;
  ASSERT_EQ (kv_lease_grant (kv, 1000, &old, &err), 0);
  EXPECT_EQ (kv_lease_renew (kv, old, &err), 1);
  answers (2, 200, "X-Lease: 3\r\n");
  EXPECT_EQ (kv_lease_renew (kv, old, &err), 0) << "somebody else's";
  requests.clear ();
  EXPECT_EQ (kv_lease_renew (kv, old, &err), 0);
  EXPECT_EQ (kv_lease_revoke (kv, old, &err), 0);
  EXPECT_EQ (cas (0, old), -1);
  EXPECT_EQ (err.code, ERR_NOT_FOUND);
  EXPECT_TRUE (requests.empty ());
  uint64_t lease;
  ASSERT_EQ (kv_lease_grant (kv, 1000, &lease, &err), 0);
  EXPECT_NE (lease, old);
  EXPECT_EQ (kv_lease_renew (kv, lease, &err), 1);
  EXPECT_EQ (requests.back (), "POST /lease/3/renew");
  // One that has ended.
  answers (2, 404, "");
  EXPECT_EQ (cas (0, lease), -1);
  EXPECT_EQ (err.code, ERR_NOT_FOUND);
}

TEST_F (KvHttp, LateAnswersTellNothing)
{
  answers (2, 200, "X-Revision: 7\r\n", "v");
  get ();
  answers (1, 200, "X-Revision: 9\r\n", "v");
  EXPECT_EQ (kv_get (kv, "k", &value, &err), -1);
  EXPECT_EQ (cas (0), -1);
  EXPECT_NE (err.code, ERR_REFUSED);
}

}
