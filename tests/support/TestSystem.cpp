#include "support/TestSystem.h"

#include "wire/common/Crypto.h"
#include <sstream>

namespace havenstair {

namespace {

constexpr Duration CallLimit = 90s;
constexpr Duration PollEvery = 20ms;

Endpoint addressIn(const Json &Ready, const char *Name) {
  return *Endpoint::parse(field<std::string>(Ready, Name));
}

} // namespace

HttpAnswer TestClient::call(const Endpoint &To, HttpMethod Method,
                            const std::string &Target, const std::string &Body,
                            const HttpHeaders &Headers) {
  std::optional<HttpAnswer> Result;
  start(To, Method, Target, Body, Headers,
        [&](HttpAnswer Answer) { Result = std::move(Answer); });
  runUntil([&] { return Result.has_value(); }, CallLimit);
  return Result.value_or(HttpAnswer{});
}

void TestClient::start(const Endpoint &To, HttpMethod Method,
                       const std::string &Target, const std::string &Body,
                       const HttpHeaders &Headers, Done Callback) {
  HttpCall Call;
  Call.m_To = To;
  Call.m_Method = Method;
  Call.m_Target = Target;
  Call.m_Body = Body;
  Call.m_Headers = Headers;
  Call.m_IdleTimeout = CallLimit;
  m_Http.fetch(std::move(Call), std::move(Callback));
}

bool TestClient::runUntil(const std::function<bool()> &Reached,
                          Duration Limit) {
  return m_Loop.runUntil(Reached, Limit);
}

TestSystem::TestSystem(Options Opts) : m_Opts(std::move(Opts)) {
  m_Platform = std::make_unique<ChildProcess>(
      program("havenstair-standin", {"platform"}));
  m_PlatformAddress = addressIn(m_Platform->readReady(), "ready");
}

ChildProcess::Options
TestSystem::program(const std::string &Name,
                    std::vector<std::string> Arguments) const {
  return {.m_Program = m_Opts.m_Programs + "/" + Name,
          .m_Arguments = std::move(Arguments),
          .m_Environment = {{"HAVENSTAIR_PEER_SECRET", TestPeerSecret},
                            {"HAVENSTAIR_OPERATOR_TOKEN", TestOperatorToken}},
          .m_ErrorFile = m_Opts.m_LogFile};
}

void TestSystem::addEngine(const std::string &Name,
                           const std::string &DataCentre, bool ChecksTokens,
                           const std::vector<std::string> &More) {
  std::vector<std::string> Arguments{"engine"};
  if (!ChecksTokens)
    Arguments.push_back("--unchecked");
  Arguments.insert(Arguments.end(), More.begin(), More.end());
  TestUpstream Made;
  Made.m_Process =
      std::make_unique<ChildProcess>(program("havenstair-standin", Arguments));
  Made.m_Address = addressIn(Made.m_Process->readReady(), "ready");
  Made.m_Listed = {{"Node", {{"Node", Name}, {"Datacenter", DataCentre}}},
                   {"Service",
                    {{"ID", Name},
                     {"Service", "upstream"},
                     {"Address", Made.m_Address.m_Address},
                     {"Port", Made.m_Address.m_Port},
                     {"Meta",
                      {{"slots", "4"},
                       {"memory_mib", "16000"},
                       {"kv_reserve_mib", "2000"},
                       {"checks_tokens", ChecksTokens ? "1" : "0"},
                       {"state", "live"}}}}}};
  m_Upstreams[Name] = std::move(Made);
}

void TestSystem::addService(const std::string &Name,
                            const std::string &DataCentre,
                            const std::string &Service,
                            const std::vector<std::string> &More) {
  std::vector<std::string> Arguments{"service"};
  Arguments.insert(Arguments.end(), More.begin(), More.end());
  TestUpstream Made;
  Made.m_Process =
      std::make_unique<ChildProcess>(program("havenstair-standin", Arguments));
  Made.m_Address = addressIn(Made.m_Process->readReady(), "ready");
  Made.m_Listed = {
      {"Node", {{"Node", Name}, {"Datacenter", DataCentre}}},
      {"Service",
       {{"ID", Name},
        {"Service", "upstream"},
        {"Address", Made.m_Address.m_Address},
        {"Port", Made.m_Address.m_Port},
        {"Meta", {{"slots", "16"}, {"service", Service}, {"state", "live"}}}}}};
  m_Upstreams[Name] = std::move(Made);
}

TestBox &TestSystem::addBox(const std::string &Name,
                            const std::string &DataCentre,
                            const std::vector<std::string> &More) {
  std::map<std::string, std::string> Flags{
      {"--box", Name},
      {"--data-centre", DataCentre},
      {"--callers", "127.0.0.1:0"},
      {"--operators", "127.0.0.1:0"},
      {"--peers", "127.0.0.1:0"},
      {"--platform", m_PlatformAddress.str()},
      {"--lease-ms", "2000"},
      {"--renew-ms", "500"},
      {"--digest-ms", "200"},
      {"--order-life-ms", "300"},
      {"--clock-skew-ms", "200"}};
  // Later ones go before earlier ones.
  for (const auto &List : {m_Opts.m_BoxArguments, More})
    for (std::size_t Index = 0; Index + 1 < List.size(); Index += 2)
      Flags[List[Index]] = List[Index + 1];
  std::vector<std::string> Arguments;
  for (const auto &[Flag, Value] : Flags) {
    Arguments.push_back(Flag);
    Arguments.push_back(Value);
  }
  TestBox Made;
  Made.m_Process =
      std::make_unique<ChildProcess>(program("havenstaird", Arguments));
  const Json Ready = Made.m_Process->readReady();
  Made.m_Name = field<std::string>(Ready, "ready");
  Made.m_DataCentre = DataCentre;
  Made.m_Callers = addressIn(Ready, "callers");
  Made.m_Operators = addressIn(Ready, "operators");
  Made.m_Peers = addressIn(Ready, "peers");
  m_Boxes[Name] = std::move(Made);
  return m_Boxes[Name];
}

void TestSystem::publishUpstreams() {
  Json List = Json::array();
  for (const auto &[Name, Each] : m_Upstreams)
    List.push_back(Each.m_Listed);
  m_Client.call(m_PlatformAddress, HttpMethod::Put, "/standin/upstreams",
                dumpJson(List));
}

void TestSystem::setLeaving(const std::string &Upstream) {
  m_Upstreams.at(Upstream).m_Listed["Service"]["Meta"]["state"] = "leaving";
  publishUpstreams();
}

void TestSystem::platformFault(const std::string &Fault, int Count) {
  m_Client.call(m_PlatformAddress, HttpMethod::Put, "/standin/fault",
                dumpJson({{"fault", Fault}, {"count", Count}}));
}

HttpAnswer TestSystem::adminSend(const std::string &Box, HttpMethod Method,
                                 const std::string &Path, const Json &Body,
                                 const HttpHeaders &Headers) {
  HttpHeaders All = Headers;
  All.push_back({"Authorization", "Bearer " + TestOperatorToken});
  return m_Client.call(m_Boxes.at(Box).m_Operators, Method, Path,
                       Body.is_null() ? "" : dumpJson(Body), All);
}

Json TestSystem::admin(const std::string &Box, const std::string &Path) {
  const HttpAnswer Answer = adminSend(Box, HttpMethod::Get, Path, Json(), {});
  return Answer.ok() ? parseJson(Answer.m_Body) : Json();
}

void TestSystem::setModels(const std::string &Box,
                           const std::map<std::string, int> &Sizes) {
  Json Models = Json::array();
  for (const auto &[Name, Size] : Sizes)
    Models.push_back({{"name", Name}, {"size_mib", Size}});
  const Json Now = admin(Box, "/admin/v1/models");
  adminSend(Box, HttpMethod::Put, "/admin/v1/models", {{"models", Models}},
            {{"If-Match", "\"" + Now.at("version").dump() + "\""}});
}

HttpAnswer TestSystem::addGroup(const std::string &Box,
                                const std::string &Group,
                                const std::vector<std::string> &Models,
                                const std::vector<std::string> &Services,
                                const Json &More) {
  Json Row{{"models", Models},
           {"services", Services},
           {"key_hashes", {sha256Hex("key-" + Group)}}};
  Row.update(More);
  return adminSend(Box, HttpMethod::Put, "/admin/v1/groups/" + Group, Row,
                   {{"If-None-Match", "*"}});
}

bool TestSystem::waitFor(const std::function<bool()> &Reached, Duration Limit) {
  const TimePoint End = EventLoop::now() + Limit;
  while (!Reached()) {
    if (EventLoop::now() > End)
      return false;
    m_Client.runUntil([] { return false; }, PollEvery);
  }
  return true;
}

bool TestSystem::waitServing(const std::string &Box,
                             const std::vector<std::string> &Models,
                             Duration Limit) {
  return waitFor(
      [&] {
        const Json View = admin(Box, "/admin/v1/upstreams");
        if (View.is_null())
          return false;
        std::string All;
        for (const Json &Each : View.at("upstreams"))
          for (const Json &Name : fieldOr<Json>(Each, "serving", Json::array()))
            All += " " + Name.get<std::string>() + " ";
        for (const std::string &Model : Models)
          if (All.find(" " + Model + " ") == std::string::npos)
            return false;
        return true;
      },
      Limit);
}

HttpHeaders TestSystem::callerHeaders(const std::string &Group) {
  return {{"Authorization", "Bearer key-" + Group},
          {"Content-Type", "application/json"}};
}

std::string TestSystem::completionBody(const std::string &Model,
                                       const std::string &Prompt, bool Stream,
                                       int Tokens) {
  return dumpJson({{"model", Model},
                   {"prompt", Prompt},
                   {"stream", Stream},
                   {"max_tokens", Tokens}});
}

HttpAnswer TestSystem::complete(const std::string &Box,
                                const std::string &Group,
                                const std::string &Model,
                                const std::string &Prompt, bool Stream,
                                int Tokens) {
  return m_Client.call(
      m_Boxes.at(Box).m_Callers, HttpMethod::Post, "/v1/completions",
      completionBody(Model, Prompt, Stream, Tokens), callerHeaders(Group));
}

HttpAnswer TestSystem::book(const std::string &Box, const std::string &Group,
                            const std::string &Key, const std::string &Body,
                            const std::string &Service) {
  HttpHeaders Headers = callerHeaders(Group);
  Headers.push_back({"Havenstair-Unsafe", "true"});
  if (!Key.empty())
    Headers.push_back({"Idempotency-Key", Key});
  return m_Client.call(m_Boxes.at(Box).m_Callers, HttpMethod::Post,
                       "/v1/services/" + Service + "/bookings", Body, Headers);
}

std::string TestSystem::commandLine(const std::string &Box,
                                    const std::vector<std::string> &Arguments,
                                    int &Status) {
  ChildProcess::Options Opts = program("havenstair", Arguments);
  Opts.m_Environment["HAVENSTAIR_OPERATORS"] =
      m_Boxes.at(Box).m_Operators.str();
  ChildProcess Command(Opts);
  std::string Output = Command.readAll();
  Status = Command.wait();
  return Output;
}

std::string streamedText(const std::string &Body) {
  std::istringstream Lines(Body);
  std::string Text;
  bool Ended = false;
  const std::string Prefix = "data: ";
  for (std::string Line; std::getline(Lines, Line);) {
    if (!Line.starts_with(Prefix))
      continue;
    const std::string Data = Line.substr(Prefix.size());
    if (Data == "[DONE]") {
      Ended = true;
      continue;
    }
    const Json Event = parseJson(Data);
    if (Event.contains("error"))
      return {};
    Text += Event.at("choices").at(0).at("delta").at("content");
  }
  return Ended ? Text : "";
}

std::string expectedText(const std::string &Prompt, int Tokens) {
  std::string Text;
  for (int Index = 0; Index < Tokens; ++Index)
    Text += Prompt + "#" + std::to_string(Index) + " ";
  return Text;
}

} // namespace havenstair
