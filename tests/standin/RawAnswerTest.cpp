#include "standin/RawAnswer.h"

#include <array>
#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

const std::string Head = "HTTP/1.1 200 OK\r\nX-Attempt-Id:  r1 \r\n";

RawAnswer read(const std::string &Bytes) {
  RawAnswer Result;
  Result.feed(Bytes);
  return Result;
}

} // namespace

TEST_CASE("A raw answer is read by its framing, byte by byte too",
          "[standin][raw]") {
  const std::string Length = Head + "Content-Length: 5\r\n\r\nwhole";
  const std::string Chunks =
      Head + "Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3;x=y\r\nole\r\n"
             "0\r\nTrailer: t\r\n\r\n";
  const std::array Texts{Length, Chunks, "HTTP/1.1 103 Early\r\n\r\n" + Length};
  const std::string &Text = Texts.at(GENERATE(0, 1, 2));
  RawAnswer Answer;
  for (const char Each : Text) {
    REQUIRE_FALSE(Answer.over());
    Answer.feed(std::string(1, Each));
  }
  REQUIRE(Answer.end() == RawEnd::Framing);
  REQUIRE(Answer.framedAsWhole());
  REQUIRE(Answer.status() == 200);
  REQUIRE(Answer.header("x-attempt-id") == "r1");
  REQUIRE(Answer.body() == "whole");
  Answer.feed("more");
  REQUIRE(Answer.surplus() == "more");
}

TEST_CASE("A raw answer that misses its end is not whole", "[standin][raw]") {
  const bool Reset = GENERATE(false, true);
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::array<std::string, 4> Texts{
      Head + "Content-Length: 6\r\n\r\nwhole", Chunked + "5\r\nwhole\r\n",
      Chunked + "5\r\nwhole\r\n0\r\n", "HTTP/1.1 200 OK\r\n"};
  RawAnswer Answer = read(Texts.at(GENERATE(0, 1, 2, 3)));
  Answer.ended(Reset);
  REQUIRE(Answer.over());
  REQUIRE_FALSE(Answer.framedAsWhole());
}

TEST_CASE("A raw answer without a framing ends with its connection",
          "[standin][raw]") {
  RawAnswer Answer = read(Head + "\r\nwhole");
  REQUIRE(Answer.framing() == RawFraming::Neither);
  REQUIRE_FALSE(Answer.over());
  SECTION("in order") {
    Answer.ended(false);
    REQUIRE(Answer.framedAsWhole());
  }
  SECTION("or by a reset") {
    Answer.ended(true);
    REQUIRE_FALSE(Answer.framedAsWhole());
  }
  REQUIRE(Answer.body() == "whole");
}

TEST_CASE("A raw answer with bytes that are no chunk is not whole",
          "[standin][raw]") {
  const RawAnswer Answer =
      read(Head + "Transfer-Encoding: chunked\r\n\r\nno chunk\r\n");
  REQUIRE(Answer.over());
  REQUIRE_FALSE(Answer.framedAsWhole());
}
