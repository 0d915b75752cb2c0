#include "havenstaird/version/AdminApi.h"

#include "havenstaird/request/ErrorReply.h"
#include "wire/common/Crypto.h"
#include "wire/version/TableCsv.h"
#include "wire/version/TableJson.h"
#include <charconv>

namespace havenstair {

namespace {

const std::string Prefix = "/admin/v1/";
const std::string GroupsPrefix = Prefix + "groups/";
const std::string MovesPrefix = Prefix + "moves/";
const std::string RequestsPrefix = Prefix + "requests/";
constexpr std::size_t EditIdBytes = 8;

void replyJson(const HttpExchangePtr &Exchange, int Status, const Json &Body,
               HttpHeaders Headers = {}) {
  Headers.push_back({"Content-Type", "application/json"});
  Exchange->reply(Status, Headers, dumpJson(Body));
}

std::string entityTag(TableVersion Version) {
  return "\"" + std::to_string(Version) + "\"";
}

/// Reads `If-Match` and `If-None-Match: *`. Every edit must name the version of
/// the row on which it is based.
TableVersion expectedVersion(const HttpExchange &Exchange) {
  if (Exchange.header("If-None-Match") == "*")
    return 0;
  std::string Text = Exchange.header("If-Match");
  if (Text.size() > 2 && Text.front() == '"' && Text.back() == '"')
    Text = Text.substr(1, Text.size() - 2);
  TableVersion Version = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Version);
  if (Text.empty() || Result.ec != std::errc() || Result.ptr != End)
    throw RequestError(ErrorKind::BadRequest,
                       "Give If-Match with the row's ETag, or If-None-Match: "
                       "* for a new row.");
  return Version;
}

Json parseBody(const HttpExchange &Exchange) {
  try {
    return parseJson(Exchange.body());
  } catch (const DecodeError &Error) {
    throw RequestError(ErrorKind::BadJson, Error.what());
  }
}

bool isDryRun(const HttpExchange &Exchange) {
  return Exchange.queryValue("dry_run") == "true";
}

} // namespace

AdminApi::AdminApi(TableSync &Rows, Options Opts)
    : m_Rows(Rows), m_Opts(std::move(Opts)) {}

void AdminApi::handle(const HttpExchangePtr &Exchange) {
  try {
    if (!handleHealth(Exchange))
      route(Exchange);
  } catch (const RequestError &Error) {
    replyError(Exchange, Error.failure(), RequestId());
  } catch (const std::exception &) {
    replyError(Exchange, {.m_Kind = ErrorKind::Internal}, RequestId());
  }
}

bool AdminApi::handleHealth(const HttpExchangePtr &Exchange) const {
  const bool Health = Exchange->path() == "/healthz";
  if (!Health && Exchange->path() != "/readyz")
    return false;
  const bool Good = Health ? m_Opts.m_Healthy() : m_Opts.m_Ready();
  Exchange->reply(Good ? 200 : 503, {{"Content-Type", "text/plain"}},
                  Good ? "ok\n" : "not ready\n");
  return true;
}

void AdminApi::checkToken(const HttpExchange &Exchange) const {
  const std::string Expected = "Bearer " + m_Opts.m_Token;
  if (!equalConstantTime(Exchange.header("Authorization"), Expected))
    throw RequestError(ErrorKind::OperatorTokenNeeded);
}

void AdminApi::route(const HttpExchangePtr &Exchange) {
  checkToken(*Exchange);
  const std::string &Path = Exchange->path();
  const bool IsGet = Exchange->method() == "GET";
  if (Path == "/metrics")
    return Exchange->reply(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                           m_Opts.m_Metrics());
  if (Path.starts_with(GroupsPrefix))
    return groupRequest(Exchange, GroupName(Path.substr(GroupsPrefix.size())));
  if (Path == Prefix + "models")
    return catalogueRequest(Exchange);
  if (Path == Prefix + "drain") {
    if (Exchange->method() != "POST")
      throw RequestError(ErrorKind::WrongMethod, "Use POST.");
    replyJson(Exchange, 202, {{"draining", true}});
    return m_Opts.m_Drain();
  }
  if (!IsGet)
    throw RequestError(ErrorKind::WrongMethod, "Use GET.");
  if (Path == Prefix + "table")
    return showTable(Exchange);
  if (Path == Prefix + "upstreams")
    return showView(Exchange, m_Opts.m_Upstreams, {});
  if (Path == Prefix + "boxes")
    return showView(Exchange, m_Opts.m_Boxes, {});
  if (Path == Prefix + "moves")
    return showView(Exchange, m_Opts.m_Moves, {});
  if (Path.starts_with(MovesPrefix))
    return showView(Exchange, m_Opts.m_Moves, Path.substr(MovesPrefix.size()));
  if (Path.starts_with(RequestsPrefix))
    return showView(Exchange, m_Opts.m_Requests,
                    Path.substr(RequestsPrefix.size()));
  throw RequestError(ErrorKind::NotFound);
}

void AdminApi::showView(const HttpExchangePtr &Exchange, const View &Of,
                        const std::string &Name) const {
  const Json Body = Of(Name);
  if (Body.is_null())
    throw RequestError(ErrorKind::NotFound);
  replyJson(Exchange, 200, Body);
}

void AdminApi::showTable(const HttpExchangePtr &Exchange) const {
  const Table &Current = m_Rows.table();
  const std::string Tag = entityTag(Current.completeTo());
  if (Exchange->queryValue("format") == "csv")
    return Exchange->reply(200, {{"Content-Type", "text/csv"}, {"ETag", Tag}},
                           tableToCsv(Current.rows()));
  Json Rows = Json::array();
  for (const GroupRow &Row : Current.rows())
    Rows.push_back(toJson(Row));
  replyJson(Exchange, 200,
            {{"version", Current.completeTo()}, {"rows", std::move(Rows)}},
            {{"ETag", Tag}});
}

void AdminApi::groupRequest(const HttpExchangePtr &Exchange,
                            const GroupName &Group) {
  const std::string &Method = Exchange->method();
  if (Method == "GET")
    return showGroup(Exchange, Group);
  if (Method != "PUT" && Method != "DELETE")
    throw RequestError(ErrorKind::WrongMethod, "Use GET, PUT or DELETE.");
  editGroup(Exchange, Group);
}

void AdminApi::showGroup(const HttpExchangePtr &Exchange,
                         const GroupName &Group) const {
  const GroupRow *Row = m_Rows.table().find(Group);
  if (Row == nullptr)
    throw RequestError(ErrorKind::NotFound);
  replyJson(Exchange, 200, toJson(*Row), {{"ETag", entityTag(Row->m_Version)}});
}

void AdminApi::editGroup(const HttpExchangePtr &Exchange,
                         const GroupName &Group) {
  TableEdit Edit;
  Edit.m_Expected = expectedVersion(*Exchange);
  GroupRow Row;
  if (Exchange->method() == "DELETE") {
    Row.m_Removed = true;
  } else {
    Json Body = parseBody(*Exchange);
    try {
      Body["group"] = Group.str();
      Row = groupRowFromJson(Body);
    } catch (const std::exception &Error) {
      throw RequestError(ErrorKind::BadCell, Error.what());
    }
    Row.m_Removed = false;
  }
  Row.m_Group = Group;
  Edit.m_Row = std::move(Row);
  runEdit(Exchange, std::move(Edit));
}

void AdminApi::catalogueRequest(const HttpExchangePtr &Exchange) {
  if (Exchange->method() == "GET") {
    const Catalogue &Models = m_Rows.table().catalogue();
    return replyJson(Exchange, 200, toJson(Models),
                     {{"ETag", entityTag(Models.m_Version)}});
  }
  if (Exchange->method() != "PUT")
    throw RequestError(ErrorKind::WrongMethod, "Use GET or PUT.");
  TableEdit Edit;
  Edit.m_Expected = expectedVersion(*Exchange);
  try {
    Edit.m_Catalogue = catalogueFromJson(parseBody(*Exchange));
  } catch (const DecodeError &Error) {
    throw RequestError(ErrorKind::BadCell, Error.what());
  }
  runEdit(Exchange, std::move(Edit));
}

void AdminApi::runEdit(const HttpExchangePtr &Exchange, TableEdit Edit) {
  if (isDryRun(*Exchange)) {
    const auto Problem = m_Rows.check(Edit);
    if (Problem)
      throw RequestError(ErrorKind::BadCell,
                         Problem->m_Cell + ": " + Problem->m_Reason);
    return replyJson(Exchange, 200, {{"valid", true}});
  }
  Edit.m_EditId = randomHex(EditIdBytes);
  const std::string EditId = Edit.m_EditId;
  m_Rows.edit(std::move(Edit),
              [this, Exchange, EditId](const EditOutcome &Outcome) {
                replyEdit(Exchange, Outcome, EditId);
              });
}

void AdminApi::replyEdit(const HttpExchangePtr &Exchange,
                         const EditOutcome &Outcome,
                         const std::string &EditId) const {
  if (!Outcome.m_Failure)
    return replyJson(Exchange, 200,
                     {{"version", Outcome.m_Version}, {"edit_id", EditId}},
                     {{"ETag", entityTag(Outcome.m_Version)}});
  if (Outcome.m_Failure->m_Kind != ErrorKind::EditConflict &&
      Outcome.m_Cell.empty())
    return replyError(Exchange, *Outcome.m_Failure, RequestId());
  Json Body = errorBody(*Outcome.m_Failure, RequestId());
  if (Outcome.m_Current)
    Body["current"] = toJson(*Outcome.m_Current);
  if (!Outcome.m_Cell.empty())
    Body["error"]["param"] = Outcome.m_Cell;
  replyJson(Exchange, answerFor(Outcome.m_Failure->m_Kind).m_HttpStatus, Body);
}

} // namespace havenstair
