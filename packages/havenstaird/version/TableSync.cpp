#include "havenstaird/version/TableSync.h"

#include "havenstaird/common/Log.h"
#include "wire/version/TableJson.h"
#include <algorithm>
#include <set>

namespace havenstair {

namespace {

const std::string TablePrefix = "havenstair/table/";
const std::string LogKey = TablePrefix + "log";
const std::string CatalogueKey = TablePrefix + "catalogue";
const std::string GroupPrefix = TablePrefix + "groups/";
/// Number of edits in the log. A box that missed more reads all rows.
constexpr std::size_t LogLength = 64;

std::string keyOf(const TableEdit &Edit) {
  return Edit.m_Row ? GroupPrefix + Edit.m_Row->m_Group.str() : CatalogueKey;
}

bool answeredRead(PlatformStatus Status) {
  return Status == PlatformStatus::Ok || Status == PlatformStatus::NotFound;
}

} // namespace

Json toJson(const EditLog &Log) {
  Json Changes = Json::array();
  for (const EditLog::Change &Each : Log.m_Changes)
    Changes.push_back({{"version", Each.m_Version},
                       {"key", Each.m_Key},
                       {"edit_id", Each.m_EditId}});
  return {{"version", Log.m_Version}, {"changes", std::move(Changes)}};
}

EditLog editLogFromJson(const Json &From) {
  EditLog Log{.m_Version = field<TableVersion>(From, "version"),
              .m_Changes = {}};
  for (const Json &Each : field<std::vector<Json>>(From, "changes"))
    Log.m_Changes.push_back({.m_Version = field<TableVersion>(Each, "version"),
                             .m_Key = field<std::string>(Each, "key"),
                             .m_EditId = field<std::string>(Each, "edit_id")});
  return Log;
}

/// Carries out one edit: reads the log, checks the edit and writes it by a
/// compare-and-swap. After a lost answer or a conflict it reads again, and
/// first looks for the id of the edit.
class TableSync::EditWork : public std::enable_shared_from_this<EditWork> {
public:
  EditWork(TableSync &Owner, TableEdit Edit, EditDone Done)
      : m_Owner(Owner), m_Alive(Owner.m_Alive), m_Edit(std::move(Edit)),
        m_Done(std::move(Done)), m_Key(keyOf(m_Edit)),
        m_Until(EventLoop::now() + Owner.m_Opts.m_EditLimit),
        m_Backoff({.m_First = 20ms,
                   .m_Cap = 500ms,
                   .m_Random = Owner.m_Opts.m_Random}) {}

  void start() {
    m_Owner.m_Platform.read(
        LogKey, PlatformWait{},
        [Self = shared_from_this()](const PlatformRead &Read) {
          if (*Self->m_Alive)
            Self->onLog(Read);
        });
  }

private:
  void onLog(const PlatformRead &Read) {
    if (!answeredRead(Read.m_Status))
      return again();
    m_Log = {};
    m_LogIndex = 0;
    if (!Read.m_Entries.empty()) {
      try {
        const PlatformEntry &Entry = Read.m_Entries.front();
        m_Log = editLogFromJson(parseJson(Entry.m_Value));
        m_LogIndex = Entry.m_ModifyIndex;
      } catch (const DecodeError &) {
        return again();
      }
    }
    for (const EditLog::Change &Each : m_Log.m_Changes)
      if (Each.m_EditId == m_Edit.m_EditId)
        return accepted(Each.m_Version);
    m_Owner.catchUp(m_Log, [Self = shared_from_this()](bool Complete) {
      if (!*Self->m_Alive)
        return;
      if (Complete)
        Self->readTarget();
      else
        Self->again();
    });
  }

  void readTarget() {
    m_Owner.m_Platform.read(
        m_Key, PlatformWait{},
        [Self = shared_from_this()](const PlatformRead &Read) {
          if (*Self->m_Alive)
            Self->onTarget(Read);
        });
  }

  void onTarget(const PlatformRead &Read) {
    if (!answeredRead(Read.m_Status))
      return again();
    const bool Exists = !Read.m_Entries.empty();
    const PlatformIndex Index =
        Exists ? Read.m_Entries.front().m_ModifyIndex : 0;
    if (Exists)
      m_Owner.applyEntry(Read.m_Entries.front());
    if (m_Edit.m_Expected && *m_Edit.m_Expected != currentVersion())
      return conflict();
    if (const auto Problem = m_Owner.check(m_Edit))
      return refuse(*Problem);
    write(Index);
  }

  TableVersion currentVersion() const {
    const Table &Current = m_Owner.m_Table;
    if (!m_Edit.m_Row)
      return Current.catalogue().m_Version;
    const GroupRow *Row = Current.find(m_Edit.m_Row->m_Group);
    return Row == nullptr ? 0 : Row->m_Version;
  }

  void write(PlatformIndex TargetIndex) {
    EditLog Next = m_Log;
    ++Next.m_Version;
    Next.m_Changes.push_back({.m_Version = Next.m_Version,
                              .m_Key = m_Key,
                              .m_EditId = m_Edit.m_EditId});
    if (Next.m_Changes.size() > LogLength)
      Next.m_Changes.erase(Next.m_Changes.begin());
    const std::string Value = documentAt(Next.m_Version);
    m_Wrote = true;
    m_Owner.m_Platform.swap({{LogKey, dumpJson(toJson(Next)), m_LogIndex},
                             {m_Key, Value, TargetIndex}},
                            [Self = shared_from_this(),
                             Version = Next.m_Version,
                             Value](PlatformStatus Status) {
                              if (!*Self->m_Alive)
                                return;
                              if (Status != PlatformStatus::Ok)
                                return Self->again();
                              Self->m_Owner.applyEntry({Self->m_Key, Value, 0});
                              Self->m_Owner.m_Table.markComplete(Version);
                              Self->accepted(Version);
                            });
  }

  std::string documentAt(TableVersion Version) const {
    if (m_Edit.m_Row) {
      GroupRow Row = *m_Edit.m_Row;
      Row.m_Version = Version;
      Row.m_EditId = m_Edit.m_EditId;
      return dumpJson(toJson(Row));
    }
    Catalogue Models = *m_Edit.m_Catalogue;
    Models.m_Version = Version;
    Models.m_EditId = m_Edit.m_EditId;
    return dumpJson(toJson(Models));
  }

  void again() {
    const Duration Wait = m_Backoff.next();
    if (EventLoop::now() + Wait > m_Until) {
      // The write was sent and may still take effect.
      const ErrorKind Kind =
          m_Wrote ? ErrorKind::OutcomeUnknown : ErrorKind::PlatformUnavailable;
      return finish(
          {.m_Failure = Failure{.m_Kind = Kind,
                                .m_RetryAfter = 1s,
                                .m_Detail = "edit " + m_Edit.m_EditId}});
    }
    m_Retry = m_Owner.m_Loop.after(
        Wait, [Self = shared_from_this()] { Self->start(); });
  }

  void accepted(TableVersion Version) {
    logInfo(LogPart::Table, "Accepted edit " + m_Edit.m_EditId +
                                " as version " + std::to_string(Version) + ".");
    m_Owner.m_Opts.m_OnChange();
    finish({.m_Failure = std::nullopt, .m_Version = Version});
  }

  void conflict() {
    EditOutcome Outcome;
    Outcome.m_Failure = Failure{.m_Kind = ErrorKind::EditConflict};
    if (m_Edit.m_Row)
      if (const GroupRow *Row = m_Owner.m_Table.find(m_Edit.m_Row->m_Group))
        Outcome.m_Current = *Row;
    finish(std::move(Outcome));
  }

  void refuse(const TableProblem &Problem) {
    EditOutcome Outcome;
    Outcome.m_Failure =
        Failure{.m_Kind = ErrorKind::BadCell,
                .m_Detail = Problem.m_Cell + ": " + Problem.m_Reason};
    Outcome.m_Cell = Problem.m_Cell;
    finish(std::move(Outcome));
  }

  void finish(EditOutcome Outcome) {
    // The timer holds this object, which must not be destroyed while its
    // callback runs.
    m_Owner.m_Loop.defer(
        [Self = shared_from_this()] { Self->m_Retry = Timer(); });
    m_Done(std::move(Outcome));
  }

  TableSync &m_Owner;
  std::shared_ptr<bool> m_Alive;
  TableEdit m_Edit;
  EditDone m_Done;
  std::string m_Key;
  TimePoint m_Until;
  Backoff m_Backoff;
  EditLog m_Log;
  PlatformIndex m_LogIndex = 0;
  bool m_Wrote = false;
  Timer m_Retry;
};

TableSync::TableSync(EventLoop &Loop, Platform &Service, Options Opts)
    : m_Loop(Loop), m_Platform(Service), m_Opts(std::move(Opts)),
      m_Watch(Loop,
              {.m_Read =
                   [this](PlatformWait Wait, const PlatformWatch::Next &Next) {
                     m_Platform.read(LogKey, Wait,
                                     [this, Next](const PlatformRead &Read) {
                                       logRead(Read);
                                       Next(Read.m_Status, Read.m_Index);
                                     });
                   },
               .m_Random = m_Opts.m_Random}) {}

TableSync::~TableSync() { *m_Alive = false; }

void TableSync::logRead(const PlatformRead &Read) {
  if (Read.m_Status != PlatformStatus::Ok || Read.m_Entries.empty())
    return;
  try {
    const EditLog Log =
        editLogFromJson(parseJson(Read.m_Entries.front().m_Value));
    catchUp(Log, [](bool) {});
  } catch (const DecodeError &Error) {
    logError(LogPart::Table, std::string("Edit log: ") + Error.what());
  }
}

void TableSync::catchUp(const EditLog &Log, std::function<void(bool)> Done) {
  const TableVersion Have = m_Table.completeTo();
  if (Log.m_Version <= Have)
    return Done(true);
  const bool Covered =
      !Log.m_Changes.empty() && Log.m_Changes.front().m_Version <= Have + 1;
  if (!Covered)
    return readAll(Log.m_Version, std::move(Done));
  std::set<std::string> Keys;
  for (const EditLog::Change &Each : Log.m_Changes)
    if (Each.m_Version > Have)
      Keys.insert(Each.m_Key);
  readKeys({Keys.begin(), Keys.end()}, Log.m_Version, Done);
}

void TableSync::readKeys(const std::vector<std::string> &Keys,
                         TableVersion Target,
                         const std::function<void(bool)> &Done) {
  auto Left = std::make_shared<std::size_t>(Keys.size());
  auto AllRead = std::make_shared<bool>(true);
  for (const std::string &Key : Keys)
    m_Platform.read(Key, PlatformWait{},
                    [this, Alive = m_Alive, Left, AllRead, Target,
                     Done](const PlatformRead &Read) {
                      if (!*Alive)
                        return;
                      const bool Applied =
                          Read.m_Status == PlatformStatus::Ok &&
                          applyEntries(Read.m_Entries);
                      *AllRead = *AllRead && Applied;
                      if (--*Left != 0)
                        return;
                      if (*AllRead)
                        m_Table.markComplete(Target);
                      m_Opts.m_OnChange();
                      Done(*AllRead);
                    });
}

void TableSync::readAll(TableVersion Target, std::function<void(bool)> Done) {
  m_Platform.list(TablePrefix, PlatformWait{},
                  [this, Alive = m_Alive, Target,
                   Done = std::move(Done)](const PlatformRead &Read) {
                    if (!*Alive)
                      return;
                    const bool Applied = Read.m_Status == PlatformStatus::Ok &&
                                         applyEntries(Read.m_Entries);
                    if (Applied)
                      m_Table.markComplete(Target);
                    m_Opts.m_OnChange();
                    Done(Applied);
                  });
}

bool TableSync::applyEntries(const std::vector<PlatformEntry> &Entries) {
  bool All = true;
  for (const PlatformEntry &Entry : Entries)
    All = applyEntry(Entry) && All;
  return All;
}

bool TableSync::applyEntry(const PlatformEntry &Entry) {
  try {
    if (Entry.m_Key == CatalogueKey)
      m_Table.apply(catalogueFromJson(parseJson(Entry.m_Value)));
    else if (Entry.m_Key.starts_with(GroupPrefix))
      m_Table.apply(groupRowFromJson(parseJson(Entry.m_Value)));
    return true;
  } catch (const DecodeError &Error) {
    logError(LogPart::Table, Entry.m_Key + ": " + Error.what());
    return false;
  }
}

void TableSync::learn(const TableFrame &News) {
  bool Changed = false;
  for (const GroupRow &Row : News.m_Rows)
    Changed = m_Table.apply(Row) || Changed;
  if (News.m_Catalogue)
    Changed = m_Table.apply(*News.m_Catalogue) || Changed;
  m_Table.markComplete(News.m_CompleteTo);
  if (Changed)
    m_Opts.m_OnChange();
}

TableFrame TableSync::newerThan(TableVersion Version) const {
  TableFrame Result;
  Result.m_CompleteTo = m_Table.completeTo();
  for (const auto &[Name, Row] : m_Table.allRows())
    if (Row.m_Version > Version)
      Result.m_Rows.push_back(Row);
  if (m_Table.catalogue().m_Version > Version)
    Result.m_Catalogue = m_Table.catalogue();
  return Result;
}

std::optional<TableProblem> TableSync::check(const TableEdit &Edit) const {
  if (Edit.m_Row)
    return checkRow(m_Table, *Edit.m_Row, m_Opts.m_Capacity());
  return checkCatalogue(m_Table, *Edit.m_Catalogue, m_Opts.m_Capacity());
}

void TableSync::edit(TableEdit Edit, EditDone Done) {
  std::make_shared<EditWork>(*this, std::move(Edit), std::move(Done))->start();
}

} // namespace havenstair
