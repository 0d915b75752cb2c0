#include "gateway/common/DecisionLog.h"

#include <cerrno>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace havenstair {

namespace {

/// Lines are collected for this time, so that many of them cost one system
/// call.
constexpr Duration FlushDelay = 50ms;
/// Time until the next write to a descriptor whose buffer is full.
constexpr Duration FullRetryDelay = 200ms;

/// Longer texts in a line are cut off.
constexpr std::size_t MaxTextBytes = 1024;
/// Lists and objects that are written longer become texts that are cut off.
constexpr std::size_t MaxListBytes = 4096;
constexpr std::string_view Omitted = "...";

std::string cut(std::string Text) {
  if (Text.size() <= MaxTextBytes)
    return Text;
  Text.resize(MaxTextBytes - Omitted.size());
  return Text.append(Omitted);
}

Json bounded(const Json &Value) {
  if (Value.is_string())
    return cut(Value.get<std::string>());
  if (!Value.is_structured())
    return Value;
  std::string Text = dumpJson(Value);
  return Text.size() <= MaxListBytes ? Value : Json(cut(std::move(Text)));
}

/// Makes writes to pipes and sockets non-blocking. Writes to regular files
/// never block.
void setNonBlocking(int Descriptor) {
  struct stat Status {};
  if (fstat(Descriptor, &Status) != 0 || S_ISREG(Status.st_mode))
    return;
  const int Flags = fcntl(Descriptor, F_GETFL);
  if (Flags >= 0)
    fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
}

} // namespace

DecisionLog::DecisionLog(EventLoop &Loop, Options Opts)
    : m_Loop(Loop), m_Opts(Opts), m_Start(EventLoop::now()) {
  setNonBlocking(m_Opts.m_Descriptor);
}

DecisionLog::~DecisionLog() { flush(); }

bool DecisionLog::admit(std::string_view Event, TimePoint Now) {
  const auto Second = Now.time_since_epoch() / 1s;
  auto Found = m_Windows.find(Event);
  if (Found == m_Windows.end())
    Found = m_Windows.emplace(std::string(Event), Window{}).first;
  Window &Current = Found->second;
  if (Current.m_Second != Second) {
    const std::uint64_t Dropped = Current.m_Dropped;
    Current = {.m_Second = Second};
    if (Dropped > 0)
      append("left_out", {{"of", Event}, {"lines", Dropped}}, Now);
  }
  if (Current.m_Lines < m_Opts.m_MaxLinesPerSecond &&
      m_Buffer.size() < m_Opts.m_MaxBufferedBytes) {
    ++Current.m_Lines;
    return true;
  }
  ++Current.m_Dropped;
  ++m_Dropped;
  return false;
}

void DecisionLog::write(std::string_view Event, Fields Values) {
  const TimePoint Now = EventLoop::now();
  if (!admit(Event, Now))
    return;
  Json Line = Json::object();
  for (const auto &[Name, Value] : Values)
    Line[std::string(Name)] = bounded(Value);
  append(Event, std::move(Line), Now);
}

void DecisionLog::append(std::string_view Event, Json Line, TimePoint Now) {
  Line["event"] = Event;
  Line["up_ms"] = (Now - m_Start) / 1ms;
  Line["time"] = EventLoop::wallMillis();
  m_Buffer += dumpJson(Line);
  m_Buffer += '\n';
  if (!m_FlushDue)
    flushLater(FlushDelay);
}

void DecisionLog::flushLater(Duration Delay) {
  m_FlushDue = true;
  m_Timer = m_Loop.after(Delay, [this] {
    m_FlushDue = false;
    flush();
  });
}

void DecisionLog::flush() {
  while (!m_Buffer.empty()) {
    const ssize_t Written =
        ::write(m_Opts.m_Descriptor, m_Buffer.data(), m_Buffer.size());
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return flushLater(FullRetryDelay);
    if (Written <= 0) {
      m_Buffer.clear();
      return;
    }
    m_Buffer.erase(0, static_cast<std::size_t>(Written));
  }
}

} // namespace havenstair
