"""Route language-model requests and service calls over mixed accelerators."""
