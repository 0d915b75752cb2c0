/// \file
/// What a box tells the other boxes, and what it takes from them.
/// See docs/design/fleet.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_FLEETEXCHANGE_H
#define HAVENSTAIR_GATEWAY_PROCESS_FLEETEXCHANGE_H

#include "decisions/process/EchoClock.h"
#include "gateway/process/PrefixMirror.h"
#include "gateway/process/ServingState.h"
#include "wire/common/EventLoop.h"
#include "wire/connection/PeerFrames.h"
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace havenstair {

class DecisionLog;
class Fleet;
class OrderGiver;

/// Runs the exchange along the fleet's topology. Relays tell each other of
/// themselves and their leaves; a leaf tells one relay, its uplink, and hears
/// from it of everybody else. News from the order giver go the same ways.
class FleetExchange {
public:
  struct Options {
    std::string m_ConfigPrefix;
    std::string m_UpstreamPrefix;
    std::string m_BoxPrefix;
    /// Of the platform: how long a leaving upstream may get new work.
    Duration m_DrainTimeout = 2s;
    bool m_FirstStart = false; ///< The whole fleet starts now.
    RandomUnit m_Random;
  };
  /// What the exchange reads and changes.
  struct Parts {
    Fleet &m_Fleet;
    OrderGiver &m_Giver;
    ServingState &m_State;
    PrefixMirror &m_Config;
    PrefixMirror &m_Upstreams;
    PrefixMirror &m_Boxes;
    DecisionLog &m_Log;
  };
  struct Hooks {
    /// Contents of engines were learned.
    std::function<void()> m_ContentsChanged;
  };

  FleetExchange(EventLoop &Loop, Parts Of, Options Opts, Hooks Callbacks);
  FleetExchange(const FleetExchange &) = delete;
  FleetExchange &operator=(const FleetExchange &) = delete;

  /// The list of boxes has changed.
  void boxesChanged();
  void linkUp(const BoxName &Box);
  void linkDown(const BoxName &Box);
  void onFrame(const BoxName &From, const PeerFrame &Frame);
  /// Contents that this box knows as the order giver.
  void tellContents(const FleetContentsFrame &Frame);
  /// Requests wait for \p Key, which no engine holds.
  void missing(const ModelKey &Key);
  /// The list of upstreams has changed.
  void upstreamsChanged();
  /// Boxes that this one is the relay of.
  std::size_t leaves() const { return m_Leaves.size(); }
  /// As of when this box's configuration was the store's, or later.
  TimePoint configAsOf() const;
  /// A configuration must never be old: it is watched closely.
  void watchConfigClosely(bool Closely) { m_ConfigClosely = Closely; }
  /// Whether the store has answered this box just now.
  bool storeJustReached() const;

private:
  void arranged();
  void tell();
  void tellLoads();
  void tellLoadsLater();
  void tellRelays(FleetDigestFrame Frame, TimePoint Now);
  FleetDigestFrame word(TimePoint Now);
  Duration heldUp(const FleetDigestFrame &Frame, TimePoint Now) const;
  Duration listAge(TimePoint Now) const;
  TimePoint knownAsOf(const PrefixMirror &Mirror) const;
  Duration mostListAge() const;
  FleetWantFrame want() const;
  FleetKeysFrame keysFrame(const std::string &Prefix,
                           const PrefixMirror::Delta &News) const;

  void tellBox(const BoxName &To, FleetDigestFrame Frame);
  void toRelays(const PeerFrame &Frame);
  void toLeaves(const PeerFrame &Frame);
  void toAll(const PeerFrame &Frame);
  void dropSilentLeaves(TimePoint Now);
  void chooseUplink(TimePoint Now);
  BoxName towardsGiver() const;
  BoxName listSource(TimePoint Now) const;
  /// As of when \p Box vouches for this box's copy.
  TimePoint vouchedAsOf(const BoxName &Box) const;
  bool vouches(const BoxName &Box, TimePoint Now) const;
  bool behind(const FleetWantFrame &Newest) const;
  void chooseListSource();
  bool startsSoon(TimePoint Now) const;
  void follow(PrefixMirror &Mirror, bool Relayed);
  PrefixMirror *mirrorOf(const std::string &Prefix);
  void askPeers();

  void take(const BoxName &From, const FleetDigestFrame &Frame);
  void takeFromLeaf(const BoxName &From, const FleetDigestFrame &Frame,
                    TimePoint Now);
  void noteConfig(const BoxName &From, const FleetDigestFrame &Frame,
                  TimePoint Now);
  void noteNewerList(const FleetDigestFrame &Frame, TimePoint Now);
  void heardOfLists(const BoxName &From, const FleetDigestFrame &Frame,
                    TimePoint Now);
  void take(const BoxName &From, const FleetLoadsFrame &Frame);
  void take(const BoxName &From, const FleetWantFrame &Frame);
  void take(const BoxName &From, const FleetKeysFrame &Frame);
  void take(const BoxName &From, const FleetContentsFrame &Frame);
  void take(const BoxName &From, const FleetMissingFrame &Frame);

  EventLoop &m_Loop;
  Parts m_Of;
  Options m_Opts;
  Hooks m_Hooks;
  FencingToken m_ContentsToken = 0;
  EchoClock m_Clock;
  /// Boxes that asked this one to be their relay, and when they last did.
  std::map<BoxName, TimePoint> m_Leaves;
  BoxName m_Uplink; ///< Empty on a relay.
  TimePoint m_UplinkHeardAt{};
  /// What a box whose lists this one could follow last said of them.
  struct ListWord {
    TimePoint m_AsOf{};      ///< They were the store's state then, or later.
    FleetWantFrame m_Newest; ///< What they hold.
    /// As of when this box's copy was the same as theirs before that.
    TimePoint m_AsOfBefore{};
  };
  std::map<BoxName, ListWord> m_ListWords;
  BoxName m_ListSource; ///< The box whose lists this one follows.
  TimePoint m_ToldAsOf =
      EventLoop::now(); ///< As of when this box last vouched for its lists.
  TimePoint m_StartedAt;
  /// When any box last told its state; the start before that.
  TimePoint m_HeardAt = m_StartedAt;
  /// The newest configuration that another box told of, and since when.
  ConfigVersion m_ConfigTold = 0;
  TimePoint m_ConfigToldAt{};
  TimePoint m_ConfigReadAt{}; ///< When it was last read on another box's word.
  TimePoint m_ListReadAt{};   ///< When it was read anew on another box's word.
  bool m_ConfigClosely = false;
  Timer m_TellTimer;
  Timer m_LoadsTimer;
  Timer m_SourceTimer;
  Timer m_AskTimer;
};

} // namespace havenstair

#endif
