// Answers that come in small pieces: the work for them and their share of the
// loop.
#include <string>

#include "gateway_call.hh"

using namespace gateway_call;

namespace
{

class Pieces : public GatewayCall
{
protected:
  int fd = -1; // of the runner

  // Sends a request to PATH and begins its answer.
  void
  begin (const std::string &path, const char *service,
         const std::string &fields = "")
  {
    runner (0, service);
    send_request (path, fields);
    receive_at_runner (0, &fd);
    ASSERT_GE (fd, 0);
    put (fd, head (200, std::string (stamp) + chunked));
  }

  // Sends N times PIECE from the runner, until the gateway has read all of it
  // or closes the connection.
  void
  send_pieces (const std::string &piece, size_t n)
  {
    std::string all;
    size_t sent = 0;
    uint64_t before = gw.counts.answer_bytes;
    for (size_t i = 0; i < n; i++)
      all += chunk (piece);
    run_until (&gw.loop, [&] {
      ssize_t now
          = send (fd, all.data () + sent, all.size () - sent, MSG_NOSIGNAL);
      if (now > 0)
        sent += static_cast<size_t> (now);
      else if (now < 0 && errno != EAGAIN)
        return true;
      return gw.counts.answer_bytes - before >= n * piece.size ();
    });
  }
};

const char *const prompt = "X-Goldcresthatch-Token-Count: 90,4\r\n";

// Guards against a gateway that stands still while one stream sends an event
// without an end in short chunks: each chunk was searched with all before it.
TEST_F (Pieces, EventWithoutEndIsSearchedOnce)
{
  begin ("/chat/1", "llm", prompt);
  put (fd, chunk ("id: 1\ndata: "));
  send_pieces ("a", 20000);
  EXPECT_EQ (gw.counts.answer_bytes, 20012U);
  EXPECT_LE (gw.counts.searched_bytes, 2 * gw.counts.answer_bytes);
}

// The same for events that do end: what follows them is searched once, too.
TEST_F (Pieces, EventsInPiecesAreSearchedOnce)
{
  std::string expected;
  begin ("/chat/1", "llm", prompt);
  for (int i = 1; i <= 20; i++)
    {
      std::string event = "id: " + std::to_string (i)
                          + "\r\ndata: " + std::string (300, 'x') + "\r\n\r\n";
      expected += event;
      for (char c : event)
        put (fd, chunk (std::string (1, c)));
    }
  put (fd, "0\r\n\r\n");
  EXPECT_TRUE (client_has ("\r\n0\r\n\r\n"));
  std::string passed;
  std::string body = client_body ();
  for (size_t at = 0; at < body.size ();)
    {
      size_t n = std::stoul (body.substr (at), nullptr, 16);
      at = body.find ("\r\n", at) + 2;
      passed += body.substr (at, n);
      at += n + 2;
    }
  EXPECT_EQ (passed, expected);
  EXPECT_LE (gw.counts.searched_bytes, 2 * gw.counts.answer_bytes);
}

// Guards against a write of its own for each chunk of a runner: an answer of
// 2 MB became one of 9 MB.
TEST_F (Pieces, ChunksOfOneReadArePassedOnTogether)
{
  static const size_t bytes = 400000; // more than is held back
  begin ("/read/1", "app");
  send_pieces ("a", bytes);
  put (fd, "0\r\n\r\n");
  EXPECT_TRUE (client_has ("\r\n0\r\n\r\n"));
  EXPECT_EQ (gw.counts.answer_bytes, bytes);
  EXPECT_LT (client_body ().size (), bytes + bytes / 10);
  EXPECT_LT (gw.counts.answer_pieces, bytes / 10);
}

// The same for whole events that are as short as can be.
TEST_F (Pieces, EventsOfOneReadArePassedOnTogether)
{
  static const size_t events = 20000;
  begin ("/chat/1", "llm", prompt);
  send_pieces (":\n\n", events);
  put (fd, "0\r\n\r\n");
  EXPECT_TRUE (client_has ("\r\n0\r\n\r\n"));
  EXPECT_LT (client_body ().size (), events * 3 + events);
}

}
