#include "wire/common/StatusLine.h"

#include <catch2/catch.hpp>
#include <string>

using namespace havenstair;

TEST_CASE("A status line has a status of three digits from 100 to 599",
          "[http][status]") {
  SECTION("sound") {
    const std::string Line =
        GENERATE("HTTP/1.1 200 OK\r\n", "HTTP/1.0 404 \r\n", "HTTP/1.1 503\r\n",
                 "HTTP/1.1 599\n", "HTTP/1.1 100 Go\r\n");
    CAPTURE(Line);
    REQUIRE(checkStatusLine(Line) == StatusLineCheck::Sound);
  }
  SECTION("unsound") {
    const std::string Line = GENERATE(
        "HTTP/1.1 000 No\r\n", "HTTP/1.1 099 No\r\n", "HTTP/1.1 600 No\r\n",
        "HTTP/1.1 999 No\r\n", "HTTP/1.1 1000 No\r\n", "HTTP/1.1 2000 No\r\n",
        "HTTP/1.1 0200 No\r\n", "HTTP/1.1 +200 No\r\n", "HTTP/1.1 -20 No\r\n",
        "HTTP/1.1 2x0 No\r\n", "HTTP/1.1 20 No\r\n", "HTTP/1.1  200 No\r\n",
        "HTTP/1.1 200OK\r\n", "HTTP/2.0 200 OK\r\n", "HTTP/1 200 OK\r\n",
        "http/1.1 200 OK\r\n", "ICY 200 OK\r\n", " HTTP/1.1 200 OK\r\n",
        "\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1 20\xb2 OK\r\n");
    CAPTURE(Line);
    REQUIRE(checkStatusLine(Line) == StatusLineCheck::Unsound);
  }
  SECTION("unfinished") {
    const std::string Line = "HTTP/1.1 200 ";
    const auto Length = GENERATE(0U, 1U, 8U, 9U, 11U, 12U);
    REQUIRE(checkStatusLine(Line.substr(0, Length)) ==
            StatusLineCheck::Unfinished);
  }
}
