#include "gateway/request/RequestDigest.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

using namespace havenstair;

namespace {

constexpr RequestContent Content{.m_Method = "POST",
                                 .m_Host = "test.example",
                                 .m_Target = "/notes/?lang=en",
                                 .m_Organisation = "club",
                                 .m_Body = "a secret text"};

} // namespace

TEST_CASE(
    "Equal content has equal digests, and different content different ones",
    "[gateway][digest]") {
  std::set<RequestDigest> Seen{digestOf(Content)};
  REQUIRE(digestOf(Content) == *Seen.begin());
  for (std::string_view RequestContent::*Part :
       {&RequestContent::m_Method, &RequestContent::m_Host,
        &RequestContent::m_Target, &RequestContent::m_Organisation,
        &RequestContent::m_Body}) {
    RequestContent Other = Content;
    Other.*Part = "other";
    REQUIRE(Seen.insert(digestOf(Other)).second);
  }
}

TEST_CASE("A digest depends on where one part ends and the next begins",
          "[gateway][digest]") {
  const RequestContent One{.m_Target = "/a", .m_Body = "bc"};
  const RequestContent Two{.m_Target = "/ab", .m_Body = "c"};
  REQUIRE(digestOf(One) != digestOf(Two));
}

TEST_CASE("A digest has a fixed length and reveals nothing of the body",
          "[gateway][digest]") {
  const std::string Large(1 << 20, 'x');
  const RequestContent Whole{.m_Body = Large};
  REQUIRE(digestOf(Whole).str().size() == digestOf(Content).str().size());
  REQUIRE(digestOf(Content).str().find("secret") == std::string::npos);
}
