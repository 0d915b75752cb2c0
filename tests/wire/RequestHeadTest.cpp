#include "wire/common/RequestHead.h"

#include <catch2/catch.hpp>

using namespace havenstair;

namespace {

RequestHead read(const std::string &Fields,
                 const std::string &Method = "POST") {
  return readRequestHead(Method + " /a HTTP/1.1\r\n" + Fields + "\r\n");
}

} // namespace

TEST_CASE("A head ends with its empty line", "[http]") {
  REQUIRE(findHeadEnd("GET / HTTP/1.1\r\nA: b\r\n") == 0);
  REQUIRE(findHeadEnd("GET / HTTP/1.1\r\nA: b\r\n\r\nrest") == 24);
  REQUIRE(findHeadEnd("GET / HTTP/1.1\nA: b\n\nrest") == 21);
}

TEST_CASE("A head is handed on without the fields of its body", "[http]") {
  const RequestHead Head = read("A: b\r\nContent-Length: 12\r\nC: d\r\n");
  REQUIRE(Head.whole(true) == "POST /a HTTP/1.1\r\nA: b\r\nC: d\r\n\r\n");
  REQUIRE(Head.m_Length == 12);
  REQUIRE(Head.m_Unambiguous);
  REQUIRE(read("Transfer-Encoding: chunked\r\n").m_Chunked);
  REQUIRE(read("transfer-encoding:chunked\r\nExpect: 100-continue\r\n")
              .m_AwaitsContinue);
}

TEST_CASE("A head can be handed on without a wish to close its connection",
          "[http]") {
  const RequestHead Head = read("A: b\r\nConnection: x,\r\n close\r\nC: d\r\n");
  REQUIRE(Head.whole(false) == "POST /a HTTP/1.1\r\nA: b\r\nC: d\r\n\r\n");
  REQUIRE(Head.whole(true) == "POST /a HTTP/1.1\r\nA: b\r\nC: d\r\n"
                              "Connection: x,\r\n close\r\n\r\n");
}

TEST_CASE("A body that has more than one reading is noticed", "[http]") {
  const char *Fields =
      GENERATE("Content-Length: 1\r\nContent-Length: 1\r\n",
               "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
               "Content-Length: +1\r\n", "Content-Length: 1, 1\r\n",
               "Content-Length: \r\n", "Content-Length : 1\r\n",
               "Content-Length: 99999999999999999999999\r\n",
               "Content-Length: 1\r\n 2\r\n", "Transfer-Encoding: gzip\r\n",
               "Transfer-Encoding: chunked, gzip\r\n",
               "Transfer-Encoding:\tchunked\r\r\n", "A b: c\r\n",
               "A: b\r\n c\r d\r\n", "A: b\r Content-Length: 1\r\n");
  CAPTURE(Fields);
  REQUIRE_FALSE(read(Fields).m_Unambiguous);
}

TEST_CASE("A body where none is read is noticed", "[http]") {
  REQUIRE_FALSE(read("Content-Length: 1\r\n", "GET").m_Unambiguous);
  REQUIRE_FALSE(read("Transfer-Encoding: chunked\r\n", "GET").m_Unambiguous);
  REQUIRE(read("Content-Length: 0\r\n", "GET").m_Unambiguous);
}

TEST_CASE("A body in chunks is not read of HTTP/1.0", "[http]") {
  const std::string Fields = "Transfer-Encoding: chunked\r\n\r\n";
  REQUIRE_FALSE(readRequestHead("POST /a HTTP/1.0\r\n" + Fields).m_Unambiguous);
  REQUIRE(readRequestHead("POST /a HTTP/1.1\r\n" + Fields).m_Unambiguous);
  REQUIRE(readRequestHead("POST /a HTTP/1.0\r\nContent-Length: 1\r\n\r\n")
              .m_Unambiguous);
}

TEST_CASE("No byte of a head passes for its end", "[http][unsafe]") {
  const std::string Nul(1, '\0');
  const RequestHead Head = read("A: b\r\n" + Nul + "\r\nC: d\r\n");
  REQUIRE_FALSE(Head.m_Unambiguous);
  REQUIRE(Head.m_Text.find('\0') == std::string::npos);
}
