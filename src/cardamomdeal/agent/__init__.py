"""Agent process: distributes configuration and ejects faulty servers."""
