#include "havenstair/process/FleetCommands.h"

#include "havenstair/common/ExitCode.h"
#include "havenstair/common/TextTable.h"
#include <iostream>

namespace havenstair {

namespace {

std::string optionalCell(const Json &From, const char *Name) {
  const auto Found = From.find(Name);
  return Found == From.end() ? "-" : formatCell(*Found);
}

void explainMove(const Json &Move) {
  std::cout << "Move " << formatCell(Move.at("id")) << ": "
            << formatCell(Move.at("verb")) << " of "
            << formatCell(Move.at("artifact")) << " ("
            << formatCell(Move.at("size_mib")) << " MiB) on "
            << formatCell(Move.at("upstream"))
            << ".\nReason: " << formatCell(Move.at("reason")) << ". "
            << formatCell(Move.at("explanation")) << "\nOrdered by "
            << formatCell(Move.at("ordered_by")) << " at "
            << formatCell(Move.at("at_ms")) << " ms since 1970.\n";
}

void explainRequest(const Json &Request) {
  std::cout << "Request " << formatCell(Request.at("id")) << " of group "
            << formatCell(Request.at("group")) << " for "
            << formatCell(Request.at("target")) << ": "
            << formatCell(Request.at("outcome")) << ".\n";
  for (const Json &Attempt : Request.at("attempts")) {
    const std::string Upstream = formatCell(Attempt.at("upstream"));
    std::cout << "  attempt at "
              << (Upstream.empty() ? "another data centre" : Upstream)
              << ", through " << formatCell(Attempt.at("admitted_by")) << "\n";
  }
  std::cout << "  waited " << formatCell(Request.at("queued_us"))
            << " us in the queue; " << formatCell(Request.at("whole_us"))
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
  for (const Json &Upstream : Answer.at("upstreams"))
    Out.add({formatCell(Upstream.at("name")), formatCell(Upstream.at("kind")),
             formatCell(Upstream.at("state")), formatCell(Upstream.at("owner")),
             optionalCell(Upstream, "ready"), optionalCell(Upstream, "running"),
             optionalCell(Upstream, "waiting"), optionalCell(Upstream, "slots"),
             optionalCell(Upstream, "available_mib"),
             optionalCell(Upstream, "serving")});
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
  for (const Json &Box : Answer.at("boxes"))
    Out.add({formatCell(Box.at("name")), formatCell(Box.at("data_centre")),
             formatCell(Box.at("state")), formatCell(Box.at("reachable")),
             formatCell(Box.at("callers")), formatCell(Box.at("operators"))});
  std::cout << Out.str() << "Asked " << formatCell(Answer.at("self"))
            << ": assignment " << formatCell(Answer.at("assignment"))
            << ", table " << formatCell(Answer.at("table")) << ", lease "
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
  for (const Json &Move : Answer.at("moves"))
    Out.add({formatCell(Move.at("id")), formatCell(Move.at("verb")),
             formatCell(Move.at("artifact")), formatCell(Move.at("upstream")),
             formatCell(Move.at("reason")),
             formatCell(Move.at("explanation"))});
  std::cout << Out.str();
}

Json FleetCommands::findBox(const std::string &Name) {
  const Json Answer = m_Api.get("/admin/v1/boxes");
  for (const Json &Box : Answer.at("boxes")) {
    const std::string Full = formatCell(Box.at("name"));
    if (Full == Name || Full.substr(0, Full.find('~')) == Name)
      return Box;
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
  // A request's id begins with the name of the box that handled it; only that
  // box knows the request.
  const std::string Name = Id.substr(0, Id.rfind('-'));
  const auto Address =
      Endpoint::parse(formatCell(findBox(Name).at("operators")));
  if (!Address)
    throw CommandError(ExitCode::Failed,
                       "no valid operators' address for box " + Name);
  const Json Request =
      m_Api.forAddress(*Address).get("/admin/v1/requests/" + Id);
  if (m_Json)
    std::cout << Request.dump(2) << "\n";
  else
    explainRequest(Request);
}

void FleetCommands::drain(const std::string &Name) {
  const auto Address =
      Endpoint::parse(formatCell(findBox(Name).at("operators")));
  if (!Address)
    throw CommandError(ExitCode::Failed,
                       "no valid operators' address for box " + Name);
  checkAnswer(m_Api.forAddress(*Address).send(
      HttpMethod::Post, "/admin/v1/drain", Json::object(), {}));
  std::cout << "Box " << Name << " hands over, finishes what runs, and ends.\n";
}

} // namespace havenstair
