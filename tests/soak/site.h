#pragma once

#include <string>
#include <vector>

#include "tests/soak/bounds.h"

namespace marjoramplank::soak {

// The figures of the deployment that the bench calls obchvat-plany.
inline constexpr char kHost[] = "nony24.example";
inline constexpr char kApiKey[] = "d4a3hwrr6x73d3zji9n7";
inline constexpr char kService[] = "planovac";

// Zone and rack of a worker, numbered from 1.
struct Place {
  std::string zone;
  std::string rack;
};

Place PlaceOf(int number);

// The operator's configuration: one queue for each priority, with another name
// in each version.
std::string Configuration(int version);

// The settings file of an entry or an agent.
struct Settings {
  std::string name;
  std::string zone;
  std::string store;
  std::string metrics;
  std::string relay;
  std::string first;   // Address for clients, or for heartbeats.
  std::string second;  // Address for readiness checks, or of the worker.
  bool is_entry = false;
  Bounds bounds;
  int listed_ends = 0;  // By a worker in one answer.
};

std::string ToText(const Settings& settings);

// Addresses on loopback, below the range of outgoing connections.
std::vector<std::string> FreeAddresses(int count);

}  // namespace marjoramplank::soak
