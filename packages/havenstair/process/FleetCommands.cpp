#include "havenstair/process/FleetCommands.h"

#include "havenstair/common/ExitCode.h"
#include "havenstair/common/TextTable.h"
#include <iostream>

namespace havenstair {

namespace {

std::string optionalCell(const Json &From, const char *Name) {
  const auto Found = From.find(Name);
  return Found == From.end() ? "-" : cellOf(*Found);
}

void explainMove(const Json &Move) {
  std::cout << "Move " << cellOf(Move.at("id")) << ": "
            << cellOf(Move.at("verb")) << " of " << cellOf(Move.at("artifact"))
            << " (" << cellOf(Move.at("size_mib")) << " MiB) on "
            << cellOf(Move.at("upstream"))
            << ".\nReason: " << cellOf(Move.at("reason")) << ". "
            << cellOf(Move.at("explanation")) << "\nOrdered by "
            << cellOf(Move.at("ordered_by")) << " at "
            << cellOf(Move.at("at_ms")) << " ms since 1970.\n";
}

void explainRequest(const Json &Request) {
  std::cout << "Request " << cellOf(Request.at("id")) << " of group "
            << cellOf(Request.at("group")) << " for "
            << cellOf(Request.at("target")) << ": "
            << cellOf(Request.at("outcome")) << ".\n";
  for (const Json &Attempt : Request.at("attempts")) {
    const std::string Upstream = cellOf(Attempt.at("upstream"));
    std::cout << "  attempt at "
              << (Upstream.empty() ? "another data centre" : Upstream)
              << ", through " << cellOf(Attempt.at("admitted_by")) << "\n";
  }
  std::cout << "  waited " << cellOf(Request.at("queued_us"))
            << " us in the queue; " << cellOf(Request.at("whole_us"))
            << " us in all\n";
}

} // namespace

void FleetCommands::upstreams() {
  const Json Answer = m_Api.get("/admin/v1/upstreams");
  if (m_Json) {
    std::cout << Answer.dump(2) << "\n";
    return;
  }
  TextTable Out({"UPSTREAM", "KIND", "STATE", "OWNER", "READY", "RUNNING",
                 "WAITING", "SLOTS", "FREE MIB", "SERVING"});
  for (const Json &Each : Answer.at("upstreams"))
    Out.add({cellOf(Each.at("name")), cellOf(Each.at("kind")),
             cellOf(Each.at("state")), cellOf(Each.at("owner")),
             optionalCell(Each, "ready"), optionalCell(Each, "running"),
             optionalCell(Each, "waiting"), optionalCell(Each, "slots"),
             optionalCell(Each, "available_mib"),
             optionalCell(Each, "serving")});
  std::cout << Out.str();
}

void FleetCommands::boxes() {
  const Json Answer = m_Api.get("/admin/v1/boxes");
  if (m_Json) {
    std::cout << Answer.dump(2) << "\n";
    return;
  }
  TextTable Out(
      {"BOX", "DATA CENTRE", "STATE", "REACHABLE", "CALLERS", "OPERATORS"});
  for (const Json &Each : Answer.at("boxes"))
    Out.add({cellOf(Each.at("name")), cellOf(Each.at("data_centre")),
             cellOf(Each.at("state")), cellOf(Each.at("reachable")),
             cellOf(Each.at("callers")), cellOf(Each.at("operators"))});
  std::cout << Out.str() << "Asked " << cellOf(Answer.at("self"))
            << ": assignment " << cellOf(Answer.at("assignment")) << ", table "
            << cellOf(Answer.at("table")) << ", lease "
            << (Answer.at("lease_held").get<bool>() ? "held" : "not held")
            << ".\n";
}

void FleetCommands::moves() {
  const Json Answer = m_Api.get("/admin/v1/moves");
  if (m_Json) {
    std::cout << Answer.dump(2) << "\n";
    return;
  }
  TextTable Out({"MOVE", "VERB", "MODEL", "UPSTREAM", "REASON", "WHY"});
  for (const Json &Each : Answer.at("moves"))
    Out.add({cellOf(Each.at("id")), cellOf(Each.at("verb")),
             cellOf(Each.at("artifact")), cellOf(Each.at("upstream")),
             cellOf(Each.at("reason")), cellOf(Each.at("explanation"))});
  std::cout << Out.str();
}

Json FleetCommands::findBox(const std::string &Name) {
  const Json Answer = m_Api.get("/admin/v1/boxes");
  for (const Json &Each : Answer.at("boxes")) {
    const std::string Full = cellOf(Each.at("name"));
    if (Full == Name || Full.substr(0, Full.find('~')) == Name)
      return Each;
  }
  throw CommandError(ExitCode::Refused, "there is no box " + Name);
}

void FleetCommands::explain(const std::string &Id) {
  const HttpAnswer Move =
      m_Api.send(HttpMethod::Get, "/admin/v1/moves/" + Id, Json(), {});
  if (Move.ok()) {
    if (m_Json)
      std::cout << Move.m_Body << "\n";
    else
      explainMove(parseJson(Move.m_Body));
    return;
  }
  // A request is known to the box that its id begins with.
  const std::string Name = Id.substr(0, Id.rfind('-'));
  const auto At = Endpoint::parse(cellOf(findBox(Name).at("operators")));
  if (!At)
    throw CommandError(ExitCode::Failed, "no address for box " + Name);
  const Json Request = m_Api.at(*At).get("/admin/v1/requests/" + Id);
  if (m_Json)
    std::cout << Request.dump(2) << "\n";
  else
    explainRequest(Request);
}

void FleetCommands::drain(const std::string &Name) {
  const auto At = Endpoint::parse(cellOf(findBox(Name).at("operators")));
  if (!At)
    throw CommandError(ExitCode::Failed, "no address for box " + Name);
  checkAnswer(m_Api.at(*At).send(HttpMethod::Post, "/admin/v1/drain",
                                 Json::object(), {}));
  std::cout << "Box " << Name << " hands over, finishes what runs, and ends.\n";
}

} // namespace havenstair
