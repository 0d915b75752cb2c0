#include "platform/Base64.h"
#include "platform/StoreClient.h"
#include "standin/StandinRunner.h"
#include "wire/common/HttpClient.h"
#include "wire/common/Json.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <utility>

using namespace havenstair;

namespace {

constexpr Duration Limit = 20s;

/// A store whose answers may have any body.
class StoreAnswerTest {
public:
  StoreItems range(const std::string &Body) {
    return answer<StoreItems>(Body, [&](const auto &Done) {
      m_Client.range("servers/", ReadKind::Current, Done);
    });
  }
  StoreChanges watch(const std::string &Body) {
    std::shared_ptr<void> Held;
    return answer<StoreChanges>(Body, [&](const auto &Done) {
      Held = m_Client.watch("servers/", {.m_Era = 1, .m_Number = 1}, 1s, Done);
    });
  }
  StoreStatus transact(const std::string &Body) {
    return answer<StoreStatus>(Body, [&](const auto &Done) {
      m_Client.transact({}, [Done](StoreStatus Status, const StoreRevision &) {
        Done(Status);
      });
    });
  }

private:
  using Request = StandinRunner::Request;
  using ConnectionPtr = StandinRunner::ConnectionPtr;

  /// What \p Call is told when the store answers with \p Body.
  template <typename Told, typename Sender>
  Told answer(const std::string &Body, Sender Call) {
    m_Body = Body;
    std::optional<Told> Result;
    Call([&Result](Told Read) { Result = std::move(Read); });
    REQUIRE(m_Loop.runUntil([&] { return Result.has_value(); }, Limit));
    return *Result;
  }

  EventLoop m_Loop;
  std::string m_Body;
  StandinRunner m_Store{
      m_Loop, [this](const Request &, const ConnectionPtr &To) {
        To->write("HTTP/1.1 200 OK\r\nStore-Era: 1\r\n"
                  "Content-Length: " +
                  std::to_string(m_Body.size()) + "\r\n\r\n" + m_Body);
      }};
  HttpClient m_Http{m_Loop};
  StoreEraTracker m_Eras{
      {.m_Changed = [](const auto &) {}, .m_Ignored = [](const auto &) {}}};
  platform::StoreClient m_Client{m_Http, m_Store.endpoint(), m_Eras};
};

Json item(const std::string &Key, const Json &Value) {
  return {{"privateKey", Key}, {"revision", 5}, {"lease", 0}, {"value", Value}};
}

} // namespace

// Each ended the box: the library's exception passed through the event loop.
TEST_CASE("An answer of the store that is no list is lost and ends nobody",
          "[platform][entries]") {
  StoreAnswerTest Test;
  const std::string Body =
      GENERATE("", "null", "[]", "{}", "7", R"("text")", R"({"items":7})",
               R"({"items":[7],"at":1})", R"({"items":[],"at":-1})",
               R"({"events":[null],"at":1})", R"({"events":[{}]})",
               R"({"items":[],"at":1,"more":"yes"})");
  REQUIRE(Test.range(Body).m_Status == StoreStatus::Lost);
  REQUIRE(Test.watch(Body).m_Status == StoreStatus::Lost);
  REQUIRE(Test.transact(Body) == StoreStatus::Lost);
}

TEST_CASE("A value of the store that cannot be read leaves the others",
          "[platform][entries]") {
  const Json Odd = GENERATE(Json(7), Json(nullptr), Json(Json::array()),
                            Json("***"), Json("abc"));
  const Json Good = platform::encodeBase64("good");
  const Json Items =
      Json::array({item("servers/a", Good), item("servers/b", Odd),
                   item("servers/c", Good)});
  StoreAnswerTest Test;
  const StoreItems Read =
      Test.range(dumpJson({{"items", Items}, {"at", 6}, {"more", false}}));
  REQUIRE(Read.m_Status == StoreStatus::Ok);
  REQUIRE(Read.m_Items.size() == 3);
  REQUIRE(Read.m_Items.at(0).m_Value == "good");
  REQUIRE(Read.m_Items.at(1).m_Value.empty());
  REQUIRE(Read.m_Items.at(2).m_Value == "good");
  const StoreChanges Changes =
      Test.watch(dumpJson({{"events", Items}, {"at", 6}}));
  REQUIRE(Changes.m_Status == StoreStatus::Ok);
  REQUIRE(Changes.m_Changes.size() == 3);
  REQUIRE(Changes.m_Changes.at(1).m_Value == "");
}
