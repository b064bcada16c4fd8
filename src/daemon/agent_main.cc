#include "src/daemon/agent_host.h"
#include "src/daemon/daemon_main.h"
#include "src/daemon/logging.h"
#include "src/daemon/settings_report.h"

int main(int argc, char** argv) {
  using namespace marjoramplank;
  const DaemonRole role{
      .name = "marjoramplank-agent",
      .check =
          [](const std::string& text, bool print) {
            return ReportSettings("marjoramplank-agent",
                                  ParseAgentSettings(text), print);
          },
      .run =
          [](const std::string& text) {
            BlockStopSignals();
            const AgentSettings settings =
                std::get<AgentSettings>(ParseAgentSettings(text));
            SetUpLogging(settings.logging, settings.worker);
            AgentHost host(settings);
            LogInfo("", "http " + host.http_address());
            AwaitStopSignal();
            LogInfo("", "draining: accepting no new tasks");
            const bool idle = host.ShutDown();
            LogInfo("", idle ? "every task has ended"
                             : "the shutdown timeout has expired");
            return idle ? kExitOk : kExitFailure;
          }};
  return DaemonMain(argc, argv, role);
}
