#include "src/configuration/configuration.h"

#include <algorithm>

namespace chalkshed {

const ServiceConfiguration* service_offering(const Configuration& configuration,
                                             const std::string& model) {
  for (const auto& [name, service] : configuration.services) {
    const std::vector<std::string>& models = service.models;
    if (service.kind == ServiceKind::kModel &&
        std::find(models.begin(), models.end(), model) != models.end()) {
      return &service;
    }
  }
  return nullptr;
}

}  // namespace chalkshed
