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

TEST_CASE("The parts of a prompt that others may share are its suspects",
          "[gateway][digest]") {
  const auto Suspects = [](const std::vector<std::string> &Ids) {
    std::vector<PromptPart> Prompt;
    for (const std::string &Id : Ids)
      Prompt.push_back({.m_Id = Id, .m_Tokens = 10});
    return promptSuspects(Prompt);
  };
  REQUIRE(Suspects({}).empty());
  REQUIRE(Suspects({"a1"}).empty());
  REQUIRE(Suspects({"a1", "own"}).size() == 1);
  REQUIRE(Suspects({"a1", "b2", "own"}).front() ==
          Suspects({"a1", "x"}).front());
  REQUIRE(Suspects({" A1 ", "own"}) == Suspects({"a1", "own"}));
  REQUIRE(Suspects({"a1", "a1", "", "own"}) == Suspects({"a1", "own"}));
  REQUIRE(Suspects(std::vector<std::string>(5000, "a1")).size() == 1);
  REQUIRE(Suspects({std::string(100000, 'f'), "own"}).front().str().size() ==
          Suspects({"a1", "own"}).front().str().size());
  std::vector<std::string> Many;
  for (int Number = 0; Number < 5000; ++Number)
    Many.push_back(std::to_string(Number));
  REQUIRE(Suspects(Many).size() <= 64);
}

TEST_CASE("A suspect is read as it was written", "[gateway][digest]") {
  const CrashSuspect Part =
      promptSuspects({{.m_Id = "a1"}, {.m_Id = "own"}}).front();
  REQUIRE(CrashSuspect::parse(Part.str()) == Part);
  REQUIRE(Part.kind() == CrashSuspect::Kind::PromptPart);
  const CrashSuspect Request = digestOf(Content);
  REQUIRE(CrashSuspect::parse(Request.str()) == Request);
  REQUIRE(Part.str().find("a1") != 0);
}
