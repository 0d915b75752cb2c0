/// \file
/// Which box watches the lists of the store, and which boxes follow it. See
/// docs/design/fleet.md.
#ifndef HAVENSTAIR_GATEWAY_PROCESS_LISTFOLLOWER_H
#define HAVENSTAIR_GATEWAY_PROCESS_LISTFOLLOWER_H

#include "decisions/process/ListReadPolicy.h"
#include "decisions/process/StoreEraTracker.h"
#include "gateway/common/ConfigFreshness.h"
#include "gateway/process/ConfigFollower.h"
#include "gateway/process/ListCopies.h"
#include "gateway/process/ListFrames.h"
#include "gateway/process/ListSender.h"
#include "gateway/process/PeerConfirmations.h"
#include "gateway/process/ServingState.h"
#include "gateway/process/WatchCache.h"
#include "wire/common/EventLoop.h"
#include "wire/connection/FleetFrames.h"
#include <functional>
#include <string>

namespace havenstair {

class DecisionLog;
class Fleet;
class OrderLeader;
class UpstreamRegistry;

/// Keeps this box's copies of the store's lists as fresh as they must be: by
/// updates from the box that reads for all while that box confirms them, by
/// reading the store itself otherwise.
class ListFollower {
public:
  struct Options {
    /// How long the platform lets a draining upstream get new work.
    Duration m_DrainTimeout = 2s;
    bool m_FirstStart = false; ///< Whether the whole fleet starts now.
  };
  /// The objects that it reads and changes.
  struct Dependencies {
    Fleet &m_Fleet;
    OrderLeader &m_Leader;
    ServingState &m_State;
    WatchCache &m_Config;
    WatchCache &m_Upstreams;
    const UpstreamRegistry &m_Registry; ///< Decodes m_Upstreams.
    WatchCache &m_Boxes;
    WatchCache &m_Evacuations;
    StoreEraTracker &m_Eras;
    DecisionLog &m_Log;
  };
  struct Hooks {
    /// Returns the next hop towards the leader; may be empty.
    std::function<BoxName()> m_NextHopToLeader;
    /// Returns whether this box is a leaf with an uplink that sends it lists.
    std::function<bool()> m_UplinkResponds;
    /// Sends a digest at once: other boxes are about to read what this box has
    /// just learned.
    std::function<void()> m_SendNow;
    /// Sends a leaf the whole of its subset of upstreams.
    std::function<void(const BoxName &)> m_SendToLeaf;
    /// Closes the connections to the store, which may be dead without an error;
    /// the next call opens a new one.
    std::function<void()> m_DropConnections;
    /// Puts a configuration that another box sent into force if it is newer.
    std::function<void(const StoreItem &)> m_OfferConfig;
  };

  ListFollower(EventLoop &Loop, Dependencies Deps, Options Opts,
               Hooks Callbacks);
  ListFollower(const ListFollower &) = delete;
  ListFollower &operator=(const ListFollower &) = delete;

  /// To be called when the topology may have changed.
  void onTopologyChanged();
  /// Chooses the box to follow, and what this box reads itself.
  void chooseSource();
  /// Forgets what \p Box, whose link is gone, has reported.
  void forget(const BoxName &Box);

  /// Fills in the fields of \p Frame about the lists, which counts as sent
  /// then.
  void describe(FleetDigestFrame &Frame, TimePoint Now);
  /// Sends \p To whole copies of the lists by which requests are routed.
  void sendSnapshots(const BoxName &To) { m_Sender.sendSnapshots(To); }
  /// A request for everything that is newer than the copies of this box.
  FleetWantFrame makeWantFrame() const { return m_Copies.makeWantFrame(); }
  /// Sends \p From the lists that are newer here than \p Frame says.
  void answerRequest(const BoxName &From, const FleetWantFrame &Frame) {
    m_Sender.answerRequest(From, Frame);
  }
  /// Whether \p Box may be sent lists of the current era: a box that knows no
  /// eras would take them for older or newer than its own by their numbers.
  bool mayFollow(const BoxName &Box) const { return m_Sender.mayFollow(Box); }
  /// Merges keys that \p From has sent; requests more when some are missing.
  void adopt(const BoxName &From, const FleetKeysFrame &Frame);
  /// The frame that sends \p Changes of \p Cache.
  static FleetKeysFrame keysFrame(const WatchCache &Cache,
                                  const WatchCache::Delta &Changes) {
    return havenstair::keysFrame(Cache, Changes);
  }

  /// Fetches newer configurations.
  ConfigFollower &config() { return m_Config; }
  const ConfigFollower &config() const { return m_Config; }
  /// The boxes that wait for the configuration of this one.
  ConfigSendQueue &configSendQueue() { return m_Sender.configQueue(); }
  /// Reads the list of upstreams anew when \p Frame proves this box's watch
  /// late.
  void readIfBehind(const FleetDigestFrame &Frame, TimePoint Now);
  /// Records how fresh the lists of \p From are. \p ExcessDelay is by how much
  /// longer than usual \p Frame was in transit.
  void recordDigest(const BoxName &From, const FleetDigestFrame &Frame,
                    Duration ExcessDelay, TimePoint Now);

  /// Whether this box, a leaf, depends on its uplink and its lists have been
  /// too old for long: another relay may be fresher.
  bool uplinkOutdated(TimePoint Now) const;

  /// Latest time at which this box's list of upstreams was known as the store's
  /// state, whoever read it.
  TimePoint listConfirmedAt() const;
  /// How old this box's configuration may be, and which box confirmed it.
  ConfigFreshness configFreshness(TimePoint Now) const;
  /// When this box's configuration was confirmed as the store's state; and its
  /// evacuations.
  TimePoint configConfirmedAt() const;
  TimePoint evacuationsConfirmedAt() const;
  /// Sets whether to watch the configuration closely, for when keys must not be
  /// trusted with an outdated configuration.
  void watchConfigClosely(bool Closely) { m_ConfigClosely = Closely; }
  /// Sets whether operators may evacuate data centres; the evacuations are then
  /// followed like the list of upstreams.
  void followEvacuations(bool Follow) { m_Copies.followEvacuations(Follow); }

private:
  FleetRole role() const;
  Duration age(TimePoint Now) const;
  TimePoint confirmedAtOf(const WatchCache &Cache) const;
  Duration maxListAge() const;
  BoxName listSource(TimePoint Now) const;
  void rereadList();
  bool takesAll(const WatchCache &Cache, const FleetKeysFrame &Frame) const;
  bool differs(const BoxName &From, const FleetDigestFrame &Frame) const;
  bool mayConfirm(const FleetDigestFrame &Frame, Duration Age) const;
  bool confirms(const BoxName &Box, TimePoint Now) const;
  void offerConfig(const FleetKeysFrame &Frame) const;
  bool followsUplink() const;
  void watchClosely();
  bool waitsAtStart(TimePoint Now) const;
  bool skipsEvacuations(TimePoint Now, bool Relayed) const;
  void setRelayed(WatchCache &Cache, bool Relayed);

  Dependencies m_Deps;
  Options m_Opts;
  Hooks m_Hooks;
  ListCopies m_Copies;
  PeerConfirmations m_Peers;
  /// Latest time at which this box's list was known as the store's state.
  TimePoint m_ListConfirmedAt{};
  BoxName m_ListSource; ///< The box whose lists this one follows.
  /// The time as of which this box last confirmed its lists to others.
  TimePoint m_SentConfirmedAt = EventLoop::now();
  TimePoint m_StartedAt = EventLoop::now();
  /// When the list was last reread because another box had a newer one.
  TimePoint m_ListReadAt{};
  bool m_ConfigClosely = false;
  ConfigFollower m_Config;
  ListSender m_Sender;
  Timer m_SourceTimer;
};

} // namespace havenstair

#endif
