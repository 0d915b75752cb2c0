/// \file
/// Set-up shared by the tests that run real processes.
#ifndef HAVENSTAIR_TESTS_PROCESS_PROCESSTEST_H
#define HAVENSTAIR_TESTS_PROCESS_PROCESSTEST_H

#include "support/TestSystem.h"
#include "wire/common/Crypto.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <memory>

namespace havenstair {

/// Options with the folder of the binaries, from the environment that ctest
/// sets.
inline TestSystem::Options testOptions() {
  const char *Programs = std::getenv("HAVENSTAIR_TEST_PROGRAMS");
  const char *Log = std::getenv("HAVENSTAIR_TEST_LOG");
  return {.m_Programs = Programs == nullptr ? "." : Programs,
          .m_LogFile = Log == nullptr ? "" : Log};
}

/// Two boxes, two engines and a booking service in one data centre, with the
/// group "g" that may use all of it.
inline std::unique_ptr<TestSystem>
startSmallSystem(const std::vector<std::string> &BoxArguments = {}) {
  TestSystem::Options Opts = testOptions();
  Opts.m_BoxArguments = BoxArguments;
  auto System = std::make_unique<TestSystem>(Opts);
  System->addEngine("engine-a", "kl");
  System->addEngine("engine-b", "kl", false);
  System->addService("booking-1", "kl", "booking");
  System->publishUpstreams();
  System->addBox("box-1", "kl");
  System->addBox("box-2", "kl");
  REQUIRE(System->waitFor([&] {
    const Json View = System->admin("box-1", "/admin/v1/upstreams");
    if (View.is_null() || View.at("upstreams").size() != 3)
      return false;
    for (const Json &Each : View.at("upstreams"))
      if (!fieldOr<bool>(Each, "ready", false))
        return false;
    return true;
  }));
  System->setModels("box-1", {{"plans", 6000}, {"notes", 7000}});
  REQUIRE(System->addGroup("box-1", "g", {"plans", "notes"}, {"booking"})
              .m_Status == 200);
  REQUIRE(System->waitServing("box-2", {"plans", "notes"}));
  REQUIRE(System->waitServing("box-1", {"plans", "notes"}));
  return System;
}

/// Returns the code in the body of an error; empty when there is none.
inline std::string errorCode(const HttpAnswer &Answer) {
  try {
    return field<std::string>(field<Json>(parseJson(Answer.m_Body), "error"),
                              "code");
  } catch (const DecodeError &) {
    return {};
  }
}

/// Returns how often the stand-in service executed each key.
inline std::map<std::string, int> executions(TestSystem &System,
                                             const std::string &Service) {
  const HttpAnswer Answer =
      System.client().call(System.upstream(Service).m_Address, HttpMethod::Get,
                           "/standin/executions");
  return field<std::map<std::string, int>>(parseJson(Answer.m_Body), "by_key");
}

/// Books under a new key, and retries while no owner may run it yet.
inline HttpAnswer bookFresh(TestSystem &System, const std::string &Box,
                            std::string &Key) {
  HttpAnswer Answer;
  System.waitFor([&] {
    Key = makeUuidV7(EventLoop::wallMillis());
    Answer = System.book(Box, "g", Key, "{}");
    return Answer.ok();
  });
  return Answer;
}

/// Returns the owner of \p Upstream that \p Box knows, without the suffix of
/// its start.
inline std::string ownerOf(TestSystem &System, const std::string &Box,
                           const std::string &Upstream) {
  const Json View = System.admin(Box, "/admin/v1/upstreams");
  for (const Json &Each : View.at("upstreams"))
    if (Each.at("name") == Upstream) {
      const auto Owner = Each.at("owner").get<std::string>();
      return Owner.substr(0, Owner.find('~'));
    }
  return {};
}

/// Returns the upstream that serves \p Model, as \p Box knows it.
inline std::string servingOf(TestSystem &System, const std::string &Box,
                             const std::string &Model) {
  const Json View = System.admin(Box, "/admin/v1/upstreams");
  for (const Json &Each : View.at("upstreams"))
    for (const Json &Name : fieldOr<Json>(Each, "serving", Json::array()))
      if (Name == Model)
        return Each.at("name").get<std::string>();
  return {};
}

inline std::string otherBox(const std::string &Box) {
  return Box == "box-1" ? "box-2" : "box-1";
}

/// Returns the sum of one counter of the stand-in engines.
inline std::uint64_t engineSum(TestSystem &System, const char *Figure) {
  std::uint64_t Sum = 0;
  for (const char *Engine : {"engine-a", "engine-b"}) {
    const HttpAnswer Stats = System.client().call(
        System.upstream(Engine).m_Address, HttpMethod::Get, "/standin/stats");
    Sum += field<std::uint64_t>(parseJson(Stats.m_Body), Figure);
  }
  return Sum;
}

} // namespace havenstair

#endif
