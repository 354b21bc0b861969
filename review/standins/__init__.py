"""Stand-ins for the platform, engines and requesters of the review's scripts."""
