#include "wire/process/EngineClient.h"

#include "wire/common/EventLoop.h"

namespace havenstair {

namespace {

constexpr Duration OrderTimeout = 2s;
constexpr int VerbCount = 3;

Json toJson(const OrderToken &Token) {
  return {{"assignment", Token.m_Assignment}, {"sequence", Token.m_Sequence}};
}

OrderToken orderTokenFromJson(const Json &From) {
  return {.m_Assignment = field<FencingToken>(From, "assignment"),
          .m_Sequence = field<std::uint64_t>(From, "sequence")};
}

} // namespace

Json toJson(const EngineOrder &Order) {
  return {{"id", Order.m_Id.str()},
          {"verb", static_cast<int>(Order.m_Verb)},
          {"artifact", Order.m_Artifact.str()},
          {"size_mib", Order.m_Size},
          {"token", toJson(Order.m_Token)},
          {"writer", Order.m_Writer.str()}};
}

EngineOrder engineOrderFromJson(const Json &From) {
  const int Verb = field<int>(From, "verb");
  if (Verb < 0 || Verb >= VerbCount)
    throw DecodeError("field verb is out of range");
  return {.m_Id = OrderId(field<std::string>(From, "id")),
          .m_Verb = static_cast<OrderVerb>(Verb),
          .m_Artifact = ArtifactName(field<std::string>(From, "artifact")),
          .m_Size = field<MemoryMiB>(From, "size_mib"),
          .m_Token = orderTokenFromJson(field<Json>(From, "token")),
          .m_Writer = BoxName(field<std::string>(From, "writer"))};
}

Json toJson(const EngineReport &Report) {
  Json Artifacts = Json::array();
  for (const ReportedArtifact &Item : Report.m_Artifacts)
    Artifacts.push_back({{"name", Item.m_Artifact.str()},
                         {"size_mib", Item.m_Size},
                         {"ready", Item.m_Ready}});
  return {{"highest_token", toJson(Report.m_HighestToken)},
          {"kv_reserve_mib", Report.m_KvReserve},
          {"artifacts", std::move(Artifacts)}};
}

EngineReport engineReportFromJson(const Json &From) {
  EngineReport Report;
  Report.m_HighestToken =
      orderTokenFromJson(field<Json>(From, "highest_token"));
  Report.m_KvReserve = field<MemoryMiB>(From, "kv_reserve_mib");
  for (const Json &Each : field<std::vector<Json>>(From, "artifacts"))
    Report.m_Artifacts.push_back(
        {.m_Artifact = ArtifactName(field<std::string>(Each, "name")),
         .m_Size = field<MemoryMiB>(Each, "size_mib"),
         .m_Ready = field<bool>(Each, "ready")});
  return Report;
}

Json toJson(const OrderJournal &Journal) {
  Json Orders = Json::array();
  for (const EngineOrder &Order : Journal.m_Unsettled)
    Orders.push_back(toJson(Order));
  return {{"token", Journal.m_Token}, {"unsettled", std::move(Orders)}};
}

OrderJournal orderJournalFromJson(const Json &From) {
  OrderJournal Journal{.m_Token = field<FencingToken>(From, "token"),
                       .m_Unsettled = {}};
  for (const Json &Each : field<std::vector<Json>>(From, "unsettled"))
    Journal.m_Unsettled.push_back(engineOrderFromJson(Each));
  return Journal;
}

void EngineClient::post(const std::string &Target, const Json &Body,
                        std::function<void()> Ended) {
  HttpCall Call;
  Call.m_To = m_Address;
  Call.m_Method = HttpMethod::Post;
  Call.m_Target = Target;
  Call.m_Headers = {{"Content-Type", "application/json"}};
  Call.m_Body = dumpJson(Body);
  Call.m_IdleTimeout = OrderTimeout;
  const std::uint64_t Id = ++m_LastCall;
  Call.m_OnEnd = [this, Id, Ended = std::move(Ended)](HttpEnd) {
    forgetCall(Id);
    Ended();
  };
  m_Calls.emplace(Id, m_Http.start(std::move(Call)));
}

/// Erases the handle of a call in the next pass of the loop, since it must
/// outlive the callback that is running.
void EngineClient::forgetCall(std::uint64_t Id) {
  m_Http.loop().defer([this, Alive = m_Alive, Id] {
    if (*Alive)
      m_Calls.erase(Id);
  });
}

void EngineClient::dropOrders() { m_Calls.clear(); }

void EngineClient::send(const EngineOrder &Order, std::function<void()> Ended) {
  post("/engine/v1/orders", toJson(Order), std::move(Ended));
}

void EngineClient::raise(const OrderToken &Token, std::function<void()> Ended) {
  post("/engine/v1/token", toJson(Token), std::move(Ended));
}

void EngineClient::report(
    std::function<void(std::optional<EngineReport>)> Done) {
  HttpCall Call;
  Call.m_To = m_Address;
  Call.m_Target = "/engine/v1/report";
  Call.m_IdleTimeout = OrderTimeout;
  m_Http.fetch(std::move(Call),
               [Done = std::move(Done)](const HttpAnswer &Answer) {
                 if (!Answer.ok())
                   return Done(std::nullopt);
                 try {
                   Done(engineReportFromJson(parseJson(Answer.m_Body)));
                 } catch (const DecodeError &) {
                   Done(std::nullopt);
                 }
               });
}

} // namespace havenstair
