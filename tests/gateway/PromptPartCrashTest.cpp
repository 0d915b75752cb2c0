// Guards against a part of prompts that crashes every upstream that begins to
// write an answer on it. Requests that hold it have no other content in common
// and come at any box, so each was new to the boxes, and 73 upstreams crashed
// within half a minute. Sound requests share all other parts with them.
#include "gateway/CrashTest.h"

#include <algorithm>
#include <string>
#include <vector>

using namespace havenstair;

namespace {

constexpr const char *BadPart = "bad0";

/// Upstreams that may crash: five, and three more sends.
constexpr std::size_t MaxCrashed = 8;

/// Boxes whose upstreams crash as they begin to answer a prompt that holds
/// BadPart elsewhere than at its end.
class PromptPartTest : public CrashTest {
public:
  explicit PromptPartTest(std::size_t Boxes, std::size_t Upstreams = 40)
      : CrashTest(Boxes, Upstreams) {
    for (const auto &[Id, Runner] : m_Runners)
      Runner->setBehaviour([Upstream = Runner.get()](const Request &Of,
                                                     const ConnectionPtr &To) {
        const std::string Prompt = Of.header("x-prompt-prefix");
        const std::size_t Last = Prompt.rfind(',');
        if (Last != std::string::npos &&
            Prompt.substr(0, Last).find(BadPart) != std::string::npos)
          return Upstream->crash();
        To->write(StandinRunner::answer(Of, 200, "body"));
      });
  }

  /// \returns a call whose body and last part are its own. The other parts of
  /// its prompt are \p Parts.
  HttpCall prompt(const std::vector<std::string> &Parts,
                  const std::string &Target = "/unsafe/x") {
    const Gateway &Box = *m_Boxes[m_Attempts % m_Boxes.size()];
    const std::string Number = std::to_string(++m_Attempts);
    std::string Text;
    for (const std::string &Part : Parts)
      Text += Part + ":400,";
    HttpCall Result = callTo(Box, Target, "id-" + Number, "body " + Number);
    Result.m_Headers.push_back({"X-Prompt-Prefix", Text + "e" + Number + ":9"});
    return Result;
  }

  int statusOf(const std::vector<std::string> &Parts,
               const std::string &Target = "/unsafe/x") {
    return fetch(prompt(Parts, Target)).m_Status;
  }

  /// Sends a request with the bad part and a sound one in turn, which have the
  /// other parts in common. \returns the last status of the bad ones.
  int storm(int Requests, const std::string &Target = "/unsafe/x") {
    int Result = 0;
    for (int Number = 0; Number < Requests; ++Number) {
      Result = statusOf({"aa11", BadPart}, Target);
      statusOf({"aa11", "cc33"}, Target);
      wait(300ms);
    }
    return Result;
  }
};

} // namespace

TEST_CASE("A part of prompts that crashes upstreams is soon sent to none",
          "[gateway][crash]") {
  const std::string Target = GENERATE("/unsafe/x", "/resumable/x");
  PromptPartTest Test(3);
  const int Last = Test.storm(16, Target);
  CAPTURE(Target);
  REQUIRE(Test.crashed() <= MaxCrashed);
  REQUIRE(Last == 400);
}

TEST_CASE("A part that crashes upstreams is barred whatever stands beside it",
          "[gateway][crash]") {
  PromptPartTest Test(3);
  Test.storm(10);
  const std::size_t Before = Test.crashed();
  REQUIRE(Test.statusOf({"aa11", BadPart}, "/safe/x") == 400);
  REQUIRE(Test.statusOf({"dd44", "ee55", BadPart}) == 400);
  REQUIRE(Test.statusOf({BadPart, "cc33"}, "/resumable/x") == 400);
  REQUIRE(Test.statusOf({" BAD0 "}) == 400);
  REQUIRE(Test.crashed() == Before);
}

TEST_CASE("Sound requests are served that share all but the part that crashes "
          "upstreams",
          "[gateway][crash]") {
  PromptPartTest Test(3);
  // Nothing has shown yet that bb22 is harmless: it was in the bad requests
  // only.
  for (int Number = 0; Number < 10; ++Number) {
    Test.statusOf({"aa11", "bb22", BadPart});
    Test.wait(300ms);
  }
  REQUIRE(Test.statusOf({"aa11", "bb22", BadPart}) == 400);
  REQUIRE(Test.crashed() <= MaxCrashed);
  REQUIRE(Test.statusOf({"aa11", "cc33"}) == 200);
  REQUIRE(Test.statusOf({"aa11", "bb22"}) == 200);
  REQUIRE(Test.statusOf({"aa11"}) == 200);
}
