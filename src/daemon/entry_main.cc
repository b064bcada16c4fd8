#include "src/daemon/daemon_main.h"
#include "src/daemon/entry_host.h"
#include "src/daemon/logging.h"
#include "src/daemon/settings_report.h"

int main(int argc, char** argv) {
  using namespace marjoramplank;
  const DaemonRole role{
      .name = "marjoramplank-entry",
      .check =
          [](const std::string& text, bool print) {
            return ReportSettings("marjoramplank-entry",
                                  ParseEntrySettings(text), print);
          },
      .run =
          [](const std::string& text) {
            BlockStopSignals();
            const EntrySettings settings =
                std::get<EntrySettings>(ParseEntrySettings(text));
            SetUpLogging(settings.logging, settings.name);
            EntryHost host(settings);
            LogInfo("", "http " + host.http_address() + " rpc " +
                            host.rpc_address());
            AwaitStopSignal();
            LogInfo("", "shutting down");
            const bool drained = host.ShutDown();
            LogInfo("", drained ? "every request is answered"
                                : "the shutdown timeout has expired");
            return drained ? kExitOk : kExitFailure;
          }};
  return DaemonMain(argc, argv, role);
}
