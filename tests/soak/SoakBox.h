/// \file
/// One box of a soak: its process, its settings file and its links.
#ifndef HAVENSTAIR_TESTS_SOAK_SOAKBOX_H
#define HAVENSTAIR_TESTS_SOAK_SOAKBOX_H

#include "soak/SoakBounds.h"
#include "soak/SoakOracle.h"
#include "standin/LoopbackProxy.h"
#include "support/ChildProcess.h"
#include "support/HeldPort.h"
#include "wire/common/EventLoop.h"
#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace havenstair {

/// Ports that are alike at all boxes, each of which has its own address.
struct SoakPorts {
  int m_Callers = 0;
  int m_Readiness = 0;
  /// Metrics, and requests of other boxes, have the two ports behind it.
  int m_Peers = 0;

  /// All that a box listens on.
  std::array<int, 5> all() const {
    return {m_Callers, m_Readiness, m_Peers, m_Peers + 1, m_Peers + 2};
  }
};

/// Starts the program, and starts it again after each end.
class SoakBox {
public:
  struct Options {
    std::string m_Name;
    std::string m_DataCentre;
    double m_Capacity = 1;     ///< As the box tells the others, in cores.
    int m_MemoryMb = 0;        ///< As its settings tell; zero for no limit.
    int m_Descriptors = 0;     ///< The same of open files.
    std::string m_Address;     ///< Loopback address of this box alone.
    std::string m_SeedAddress; ///< Where others find it through the proxy.
    SoakPorts m_Ports;
    std::vector<std::string> m_Seeds; ///< Seed addresses of the first boxes.
    Endpoint m_Store;
    std::string m_Program;
    std::string m_Folder; ///< For the settings file and the log.
    SoakBounds m_Bounds;
  };

  SoakBox(EventLoop &Loop, SoakOracle &Oracle, Options Opts);

  const std::string &name() const { return m_Opts.m_Name; }
  const std::string &dataCentre() const { return m_Opts.m_DataCentre; }
  /// Of its last start.
  pid_t process() const { return m_Process ? m_Process->id() : -1; }
  /// Counts the starts.
  int life() const { return m_Life; }
  const SoakPorts &ports() const { return m_Opts.m_Ports; }
  Endpoint callers() const {
    return {m_Opts.m_Address, m_Opts.m_Ports.m_Callers};
  }
  Endpoint readiness() const {
    return {m_Opts.m_Address, m_Opts.m_Ports.m_Readiness};
  }
  /// Where it listens for others.
  Endpoint peers() const { return {m_Opts.m_Address, m_Opts.m_Ports.m_Peers}; }
  LoopbackProxy &storeLink() { return m_StoreLink; }
  LoopbackProxy &peerLink() { return m_PeerLink; }

  void start();
  void pause();
  void resume();
  /// Stops the process for want of processor time, which is no trouble of the
  /// box, and lets it go on.
  void hold();
  void release();
  void hangUp();
  /// Kills the process; it starts again after \p Away.
  void kill(Duration Away);
  /// At its next start something else has its port \p Port for \p For.
  void takePort(int Port, Duration For) { m_Taken = Taken{Port, For}; }
  /// It has another name at each start.
  void renameAtStarts() { m_Renamed = true; }
  /// Its next starts are of the program at \p Path.
  void setProgram(std::string Path) { m_Opts.m_Program = std::move(Path); }
  /// Asks the process to stop; it starts again after its end and \p Away.
  void stop(Duration Away);

private:
  struct Taken {
    int m_Port = 0;
    Duration m_For{};
  };

  void holdPort();
  void writeSettings() const;
  void look();
  void startAgain();
  void signal(int Number);

  EventLoop &m_Loop;
  SoakOracle &m_Oracle;
  Options m_Opts;
  LoopbackProxy m_StoreLink;
  LoopbackProxy m_PeerLink;
  std::unique_ptr<ChildProcess> m_Process;
  int m_Life = 0;
  int m_Paused = 0;
  bool m_Leaving = false; ///< Its end is wanted.
  bool m_Away = false;    ///< Ended, and not started again yet.
  Duration m_AwayFor{};
  TimePoint m_KillAt;
  bool m_Renamed = false;
  std::optional<Taken> m_Taken;
  std::unique_ptr<HeldPort> m_HeldPort;
  Timer m_PortRelease;
  Timer m_Look;
  Timer m_Return;
};

} // namespace havenstair

#endif
