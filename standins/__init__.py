"""Stand-ins for the systems that ragwortchute meets."""
