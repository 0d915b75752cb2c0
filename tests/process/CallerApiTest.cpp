#include "process/ProcessTest.h"

using namespace havenstair;

namespace {

struct BadCall {
  const char *m_What;
  HttpMethod m_Method;
  const char *m_Target;
  std::string m_Body;
  HttpHeaders m_Headers;
  int m_Status;
  const char *m_Code;
};

std::vector<BadCall> badCalls() {
  const HttpHeaders Good = TestSystem::callerHeaders("g");
  const auto With = [&](const char *Name, const char *Value) {
    HttpHeaders Headers = Good;
    Headers.push_back({Name, Value});
    return Headers;
  };
  const std::string Body =
      TestSystem::completionBody("plans", "hello", false, 2);
  const char *Path = "/v1/completions";
  const HttpMethod Post = HttpMethod::Post;
  const HttpMethod Get = HttpMethod::Get;
  return {
      {"no key", Post, Path, Body, {}, 401, "missing_key"},
      {"unknown key", Post, Path, Body, TestSystem::callerHeaders("nobody"),
       401, "unknown_key"},
      {"operator's token",
       Post,
       Path,
       Body,
       {{"Authorization", "Bearer " + TestOperatorToken}},
       401,
       "unknown_key"},
      {"broken JSON", Post, Path, "{\"model\":", Good, 400, "bad_json"},
      {"no model", Post, Path, "{}", Good, 400, "bad_request"},
      {"model of another type", Post, Path, R"({"model":7})", Good, 400,
       "bad_request"},
      {"body that is no object", Post, Path, "[1]", Good, 400, "bad_request"},
      {"unknown model", Post, Path, R"({"model":"none"})", Good, 404,
       "model_not_available"},
      {"wrong method", Get, Path, "", Good, 405, "wrong_method"},
      {"wrong method for models", Post, "/v1/models", "", Good, 405,
       "wrong_method"},
      {"unknown path", Get, "/v1/none", "", Good, 404, "not_found"},
      {"unknown service", Get, "/v1/services/none/x", "", Good, 404,
       "not_found"},
      {"body too large", Post, Path, std::string(1500000, 'x'), Good, 413,
       "body_too_large"},
      {"deadline that is none", Post, Path, Body,
       With("Havenstair-Deadline-Ms", "soon"), 400, "bad_request"},
      {"priority out of range", Post, Path, Body,
       With("Havenstair-Priority", "10"), 400, "bad_request"},
      {"unsafe neither true nor false", Post, Path, Body,
       With("Havenstair-Unsafe", "maybe"), 400, "bad_request"},
      {"key that is too long", Post, Path, Body,
       With("Idempotency-Key", std::string(200, 'k').c_str()), 400,
       "bad_request"},
  };
}

} // namespace

TEST_CASE(
    "Callers get whole answers, streamed or not, and the kind of an error",
    "[process][callers]") {
  const auto System = startSmallSystem();

  SECTION("each invalid input has its error kind and status") {
    for (const BadCall &Bad : badCalls()) {
      CAPTURE(Bad.m_What);
      const HttpAnswer Answer =
          System->client().call(System->box("box-1").m_Callers, Bad.m_Method,
                                Bad.m_Target, Bad.m_Body, Bad.m_Headers);
      CHECK(Answer.m_Status == Bad.m_Status);
      CHECK(errorCode(Answer) == Bad.m_Code);
      CHECK(Answer.m_Body.find("\"run\":\"not_run\"") != std::string::npos);
    }
    REQUIRE(engineSum(*System, "requests") == 0);
  }
  SECTION("answers are complete") {
    for (const char *Box : {"box-1", "box-2"})
      for (const char *Model : {"plans", "notes"}) {
        const HttpAnswer Stream = System->complete(Box, "g", Model, "s", true);
        CHECK(streamedText(Stream.m_Body) == expectedText("s", 8));
        const HttpAnswer Whole = System->complete(Box, "g", Model, "w", false);
        CHECK(Whole.m_Status == 200);
        CHECK(Whole.m_Body.find(expectedText("w", 8)) != std::string::npos);
      }
  }
  SECTION("a group learns nothing of models that it may not use") {
    REQUIRE(System->addGroup("box-1", "h", {"notes"}, {}).m_Status == 200);
    REQUIRE(System->waitFor([&] {
      return System->admin("box-2", "/admin/v1/table").at("rows").size() == 2;
    }));
    const HttpAnswer List =
        System->client().call(System->box("box-2").m_Callers, HttpMethod::Get,
                              "/v1/models", "", TestSystem::callerHeaders("h"));
    const Json Models = parseJson(List.m_Body);
    REQUIRE(Models.at("data").size() == 1);
    REQUIRE(Models.at("data").at(0).at("id") == "notes");
    const HttpAnswer Known = System->complete("box-2", "h", "plans", "x", true);
    const HttpAnswer None = System->complete("box-2", "h", "none", "x", true);
    REQUIRE(Known.m_Status == None.m_Status);
    REQUIRE(errorCode(Known) == errorCode(None));
    const HttpAnswer Service = System->book("box-2", "h", "", "{}");
    REQUIRE(Service.m_Status == 404);
  }
  SECTION("a caller that leaves cancels its request at the engine") {
    {
      const HttpCallHandle Call = System->client().http().start(
          {.m_To = System->box("box-2").m_Callers,
           .m_Method = HttpMethod::Post,
           .m_Target = "/v1/completions",
           .m_Headers = TestSystem::callerHeaders("g"),
           .m_Body = TestSystem::completionBody("plans", "x", true, 100000)});
      REQUIRE(
          System->waitFor([&] { return engineSum(*System, "requests") == 1; }));
    }
    REQUIRE(
        System->waitFor([&] { return engineSum(*System, "cancelled") == 1; }));
  }
  SECTION("a stream cut upstream ends in a visible error") {
    const std::string Engine = servingOf(*System, "box-1", "plans");
    System->client().call(System->upstream(Engine).m_Address, HttpMethod::Put,
                          "/standin/fault", R"({"cut_after":3})");
    const HttpAnswer Cut = System->complete("box-1", "g", "plans", "c", true);
    CHECK(streamedText(Cut.m_Body).empty());
    CHECK(Cut.m_Body.find("\"code\":\"stream_cut\"") != std::string::npos);
    CHECK(Cut.m_Body.find("[DONE]") == std::string::npos);
    const HttpAnswer Whole =
        System->complete("box-1", "g", "plans", "c", false);
    CHECK(Whole.m_Status == 502);
  }
  SECTION("a refusal says when to retry") {
    REQUIRE(System
                ->addGroup("box-1", "slow", {"plans"}, {},
                           {{"requests_per_second", 0.1}})
                .m_Status == 200);
    REQUIRE(System->complete("box-1", "slow", "plans", "1", false).ok());
    const HttpAnswer Refused =
        System->complete("box-1", "slow", "plans", "2", false);
    REQUIRE(Refused.m_Status == 429);
    REQUIRE(errorCode(Refused) == "rate_limited");
    REQUIRE(std::stoi(findHeader(Refused.m_Headers, "Retry-After")) > 0);
  }
  SECTION("a concurrency limit of one holds over both boxes and is released") {
    REQUIRE(
        System->addGroup("box-1", "one", {"plans"}, {}, {{"concurrency", 1}})
            .m_Status == 200);
    for (const char *Box : {"box-1", "box-2"})
      REQUIRE(System->waitFor([&] {
        return System->complete(Box, "one", "plans", "x", false, 1).ok();
      }));
    const std::uint64_t Before = engineSum(*System, "requests");
    bool Ended = false;
    System->client().start(
        System->box("box-1").m_Callers, HttpMethod::Post, "/v1/completions",
        TestSystem::completionBody("plans", "long", true, 300),
        TestSystem::callerHeaders("one"),
        [&](const HttpAnswer &) { Ended = true; });
    REQUIRE(System->waitFor(
        [&] { return engineSum(*System, "requests") > Before; }));
    const HttpAnswer Second =
        System->complete("box-2", "one", "plans", "x", false, 1);
    CHECK(errorCode(Second) == "concurrency_limited");
    REQUIRE(System->waitFor([&] { return Ended; }));
    REQUIRE(System->waitFor([&] {
      return System->complete("box-2", "one", "plans", "x", false, 1).ok();
    }));
  }
}
