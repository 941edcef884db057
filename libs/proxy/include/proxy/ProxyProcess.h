#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/Error.h"
#include "config/ProxySettings.h"
#include "proxy/Binding.h"

namespace amaranthgap {

class EventLoop;

/** One proxy: the entry for callers on its host, the way to the upstream
 * beside it, and its place among the other nodes. Belongs to the thread of its
 * event loop. */
class ProxyProcess
{
public:
  /** @param aLoop outlives the proxy. */
  ProxyProcess(EventLoop& aLoop, ProxySettings aSettings, Binding aBinding);
  ~ProxyProcess();

  /** Opens the addresses and begins to serve.
   * @return an error when an address cannot be bound. */
  Status Start();
  /** Takes no new work after a while, and finishes what is in flight. */
  void StartShutdown();
  /** Called once the shutdown is over. */
  void OnStopped(std::function<void()> aCallback);
  /** Notes that the settings file was read again.
   * @param aSettings nothing when it is bad. */
  void SettingsReread(const std::optional<ProxySettings>& aSettings);

private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

} // namespace amaranthgap
