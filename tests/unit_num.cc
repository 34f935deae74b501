// Whole numbers in text, and the lists of VMs that hold them.
#include <gtest/gtest.h>
#include <pthread.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <thread>
#include <vector>

extern "C"
{
#include "goldcresthatch/fleet.h"
#include "num.h"
}

namespace
{

TEST (Num, Values)
{
  uint64_t n = 0;
  EXPECT_EQ (num_parse ("0", 10, 0, 9, &n), 0);
  EXPECT_EQ (n, 0U);
  EXPECT_EQ (num_parse ("007", 10, 1, 9, &n), 0);
  EXPECT_EQ (n, 7U);
  EXPECT_EQ (num_parse ("18446744073709551615", 10, 0, UINT64_MAX, &n), 0);
  EXPECT_EQ (n, UINT64_MAX);
  EXPECT_EQ (num_parse ("ffFFffffffffffff", 16, 0, UINT64_MAX, &n), 0);
  EXPECT_EQ (n, UINT64_MAX);
}

TEST (Num, Malformed)
{
  uint64_t n = 5;
  for (const char *text :
       { "", " 1", "1 ", "+1", "-1", "1.0", "0x1", "a", "1a", "10",
         "1\xd9\xa3", "18446744073709551616", "99999999999999999999999" })
    EXPECT_EQ (num_parse (text, 10, 1, 9, &n), -1) << text;
  EXPECT_EQ (num_parse ("0", 10, 1, 9, &n), -1);
  EXPECT_EQ (num_parse ("g", 16, 0, 99, &n), -1);
  EXPECT_EQ (num_parse ("10000000000000000", 16, 0, UINT64_MAX, &n), -1);
  EXPECT_EQ (n, 5U);
}

// Run by FleetThreads.ListsAreReadAtOnce in a separate process.
TEST (Num, DISABLED_ManyThreads)
{
  constexpr int threads = 32;
  pthread_barrier_t start;
  std::atomic<int> refused{ 0 };
  std::vector<std::thread> all;
  pthread_barrier_init (&start, nullptr, threads);
  for (int i = 0; i < threads; i++)
    all.emplace_back ([&] {
      struct fleet *fleet = fleet_new ();
      struct fleet_vm vm = { "vm1", "127.0.0.1:7200", "z", FLEET_VM_LIVE };
      struct err err;
      pthread_barrier_wait (&start);
      refused += fleet_list_update (fleet, &vm, 1, &err) != 0;
      fleet_free (fleet);
    });
  for (auto &thread : all)
    thread.join ();
  pthread_barrier_destroy (&start);
  EXPECT_EQ (refused, 0);
}

// Guards against a list of VMs that is refused because another thread parses
// its first number at the same time.  Under load, an entry then fails with
// "bad address" at its start and answers 404 until it reads the next list.
TEST (FleetThreads, ListsAreReadAtOnce)
{
  for (int i = 0; i < 60; i++)
    {
      pid_t pid = fork ();
      if (pid == 0)
        {
          if (freopen ("/dev/null", "w", stdout) == nullptr)
            _exit (2);
          execl ("/proc/self/exe", "unit-tests", "--gtest_brief=1",
                 "--gtest_filter=Num.DISABLED_ManyThreads",
                 "--gtest_also_run_disabled_tests", nullptr);
          _exit (1);
        }
      int status = -1;
      ASSERT_EQ (waitpid (pid, &status, 0), pid);
      ASSERT_EQ (status, 0) << "in process " << i;
    }
}

}
